#pragma once

namespace jd {

/// Joins the rows of all cases into one file and prints them as a table.
int RunReport(int argc, char** argv);

}  // namespace jd
