#include "gateway/log.h"

#include <fcntl.h>
#include <unistd.h>

#include <catch2/catch.hpp>
#include <cstdlib>
#include <fstream>
#include <sstream>

namespace jd {
namespace {

// Redirects standard output to a file for as long as the object exists.
class StdoutCapture {
 public:
  explicit StdoutCapture(std::string path) : path_(std::move(path)), saved_(dup(STDOUT_FILENO)) {
    const int file = open(path_.c_str(), O_WRONLY | O_CREAT | O_TRUNC, 0600);
    REQUIRE(file >= 0);
    dup2(file, STDOUT_FILENO);
    close(file);
  }
  ~StdoutCapture() {
    Restore();
    unlink(path_.c_str());
  }
  std::string Text() {
    Restore();
    std::ifstream in(path_);
    std::stringstream text;
    text << in.rdbuf();
    return text.str();
  }

 private:
  void Restore() {
    if (saved_ >= 0) {
      dup2(saved_, STDOUT_FILENO);
      close(saved_);
      saved_ = -1;
    }
  }
  std::string path_;
  int saved_;
};

TEST_CASE("lines about the process are not lost in a flood of lines about calls", "[log_test]") {
  // Guards against a flood of lines about calls that uses up the log's limits, so that the line
  // about a stop or a lost dependency is dropped.
  StdoutCapture output(std::string(std::getenv("JACKDAWDECK_BUILD")) + "/log_test.txt");
  SetUpLog("info");
  Event event;
  event.kind = EventKind::kCallRefused;
  event.request = RequestId("r");
  event.detail = "reason=overload";
  for (int i = 0; i < 5000; ++i) {
    LogEvent(event);
  }
  LogInfo(LogPart::kGateway, "event=stop");
  SetUpLog("error");
  const std::string text = output.Text();
  CHECK(text.find("event=stop") != std::string::npos);
  CHECK(text.find("lines-dropped count=") != std::string::npos);
  CHECK(text.find("event=call-refused request=r reason=overload") != std::string::npos);
  size_t lines = 0;
  for (size_t at = 0; (at = text.find("call-refused", at)) != std::string::npos; ++at) {
    ++lines;
  }
  // The lines fall into at most two seconds, each with at most 500 lines about calls.
  CHECK(lines <= 1000);
}

}  // namespace
}  // namespace jd
