/// \file
/// Which changes of the configuration need a restart of the program.
#pragma once

#include <string>

namespace wingproxy::config {

struct Config;

/// The fields that differ between the two configurations and that a reload does not apply: their names in the
/// file, separated by ", "; empty if there are none. The seed is ignored, as each file has a new one.
std::string fieldsNeedingRestart(const Config& running, const Config& reloaded);

}  // namespace wingproxy::config
