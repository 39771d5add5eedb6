# Writes one C++ file that holds the text of every state chart, by chart name.
set(text "#include \"common/state_chart.h\"\n\nnamespace jd {\n\nstd::string_view EmbeddedChart(std::string_view name) {\n")
foreach(chart ${CHARTS})
  get_filename_component(name ${chart} NAME_WE)
  file(READ ${chart} content)
  string(APPEND text "  if (name == \"${name}\")\n    return R\"chart(${content})chart\";\n")
endforeach()
string(APPEND text "  return {};\n}\n\n}  // namespace jd\n")
file(WRITE ${OUT} "${text}")
