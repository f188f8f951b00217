/// \file
/// Base64 (RFC 4648, with padding) for the bytes of peer messages on the simulator's wire, where an empty
/// message is written as "-".
#pragma once

#include <string>
#include <string_view>

namespace wingproxy::wire {

/// Encodes bytes as one word: 4 characters for each group of up to 3 bytes, "-" for no bytes.
std::string encodeBase64(std::string_view bytes);

/// Decodes what `encodeBase64` writes.
/// \param bytes replaced by the decoded bytes; unspecified if the text is not valid
/// \return whether `text` is valid
bool decodeBase64(std::string_view text, std::string& bytes);

}  // namespace wingproxy::wire
