/// \file
/// Complete files that another process may read at any moment. They are small and lie in memory (`$TMPDIR`),
/// so the calls block for no device.
#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace wingproxy::hot_restart {

/// Writes a temporary file `path`.new and renames it: a reader sees either the new content or the previous
/// one. \return false: not written, the previous content stays
[[nodiscard]] bool writeFileAtomically(const std::string& path, std::string_view bytes);

/// The content of the file. \return nothing where the file does not exist, cannot be read, or is longer than
/// `maxBytes`
[[nodiscard]] std::optional<std::string> readFile(const std::string& path, std::size_t maxBytes);

}  // namespace wingproxy::hot_restart
