/// \file
/// Base64 (RFC 4648, with padding) for the bytes of peer messages, as the wire writes them: no bytes are "-".
#pragma once

#include <string>
#include <string_view>

namespace wingproxy::wire {

/// The bytes as one word of digits and padding, 4 characters for each 3 bytes that were begun.
std::string encodeBase64(std::string_view bytes);

/// Reads what encodeBase64 writes.
/// \param bytes replaced by the decoded bytes; unspecified if the text is not valid
/// \return whether `text` is valid
bool decodeBase64(std::string_view text, std::string& bytes);

}  // namespace wingproxy::wire
