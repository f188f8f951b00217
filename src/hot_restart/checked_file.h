/// \file
/// The file format of the snapshot and of the overrides file: a header, then the payload. No I/O.
///
/// | offset | bytes | field |
/// | --- | --- | --- |
/// | 0 | 4 | magic: identifies the kind of file and the version of its payload |
/// | 4 | 8 | length of the payload, little-endian |
/// | 12 | 4 | CRC-32 of the payload, little-endian |
/// | 16 | | payload |
#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <variant>

#include "hot_restart/snapshot_error.h"

namespace wingproxy::hot_restart {

constexpr std::size_t kMagicBytes = 4;

/// Returns the complete file: the header for this payload, then the payload.
/// \param magic `kMagicBytes` characters
[[nodiscard]] std::string encodeCheckedFile(std::string_view magic, std::string_view payload);

/// Checks magic, length and CRC-32, in that order. The payload is returned only if all of them are right.
/// \return the payload, a view into `bytes`
[[nodiscard]] std::variant<std::string_view, SnapshotError> decodeCheckedFile(std::string_view magic,
                                                                              std::string_view bytes);

}  // namespace wingproxy::hot_restart
