#include "http/field_values.h"

#include <algorithm>
#include <cctype>

namespace wingproxy::http {

std::string_view trimWhitespace(std::string_view text) {
    constexpr std::string_view kWhitespace = " \t";
    const auto first = text.find_first_not_of(kWhitespace);
    if (first == std::string_view::npos) return {};
    return text.substr(first, text.find_last_not_of(kWhitespace) - first + 1);
}

bool isHex16(std::string_view text) {
    return text.size() == 16 &&
           std::all_of(text.begin(), text.end(), [](unsigned char c) { return std::isxdigit(c) != 0; });
}

std::optional<std::string_view> findParameter(std::string_view list, char separator, std::string_view name) {
    while (!list.empty()) {
        const auto end = list.find(separator);
        const auto parameter = trimWhitespace(list.substr(0, end));
        if (parameter.starts_with(name) && parameter.substr(name.size()).starts_with('='))
            return parameter.substr(name.size() + 1);
        list = end == std::string_view::npos ? std::string_view() : list.substr(end + 1);
    }
    return std::nullopt;
}

}  // namespace wingproxy::http
