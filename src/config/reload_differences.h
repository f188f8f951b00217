/// \file
/// What a reload of the configuration cannot change while the program runs.
#pragma once

#include <string>

namespace wingproxy::config {

struct Config;

/// The fields that differ between the two configurations and that a reload does not apply, by their names in
/// the file and separated by ", "; empty if there are none. The seed does not count: each file has a new one.
std::string fieldsNeedingRestart(const Config& running, const Config& reloaded);

}  // namespace wingproxy::config
