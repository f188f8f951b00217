/// \file
/// Files that another process may read at any moment. They are small and in memory (`$TMPDIR`), so that the
/// blocking calls do not wait for a device.
#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace wingproxy::hot_restart {

/// Writes a temporary file `path`.new and renames it: a reader sees either the new content or the previous
/// one.
/// \return false if the file was not written; the previous content stays
[[nodiscard]] bool writeFileAtomically(const std::string& path, std::string_view bytes);

/// Reads the whole file.
/// \return its content; empty if the file does not exist, cannot be read or is longer than `maxBytes`
[[nodiscard]] std::optional<std::string> readFile(const std::string& path, std::size_t maxBytes);

}  // namespace wingproxy::hot_restart
