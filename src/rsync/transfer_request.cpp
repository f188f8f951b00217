#include "rsync/transfer_request.h"

#include <fmt/format.h>

#include <algorithm>
#include <cstddef>
#include <optional>

namespace wingproxy::rsync {
namespace {

/// v, q: verbosity. t, p, r: times, modes, recursion. o, g: owner and group. l, D: symbolic links and
/// devices, accepted so that `-a` works; an entry of these types is an error
/// (StreamErrorCode::UnsupportedFileType).
constexpr std::string_view kSupportedFlags = "vqtprlDog";
/// `-e` starts the client's capabilities, the rest of the argument. They are ignored: version 28 has none.
constexpr char kCapabilitiesFlag = 'e';
/// The argument that ends the options; the paths follow.
constexpr std::string_view kEndOfOptions = ".";

bool isInsideModule(std::string_view path, std::string_view module) {
    if (!path.starts_with(module)) return false;
    path.remove_prefix(module.size());
    if (!path.empty() && path.front() != '/') return false;
    while (!path.empty()) {
        path.remove_prefix(1);
        const auto end = std::min(path.find('/'), path.size());
        if (path.substr(0, end) == "..") return false;
        path.remove_prefix(end);
    }
    return true;
}

bool isFlagGroup(std::string_view argument) {
    return argument.size() > 1 && argument[0] == '-' && argument[1] != '-';
}

/// Applies an argument like "-vtpr".
std::optional<ArgumentError> applyFlags(std::string_view argument, TransferOptions& options) {
    const auto flags = argument.substr(1, argument.find(kCapabilitiesFlag) - 1);
    for (const char flag : flags) {
        if (kSupportedFlags.find(flag) == std::string_view::npos)
            return ArgumentError{ArgumentErrorCode::UnsupportedOption, fmt::format("-{}", flag)};
        if (flag == 'o') options.preserveOwner = true;
        if (flag == 'g') options.preserveGroup = true;
    }
    return std::nullopt;
}

/// Applies one argument before the ".", except `--server`.
std::optional<ArgumentError> applyOption(const std::string& argument, TransferOptions& options) {
    if (isFlagGroup(argument)) return applyFlags(argument, options);
    if (argument == "--sender")
        options.direction = Direction::Pull;
    else if (argument == "--numeric-ids")
        options.numericIds = true;
    else
        return ArgumentError{ArgumentErrorCode::UnsupportedOption, argument};
    return std::nullopt;
}

std::string_view reason(ArgumentErrorCode code) {
    switch (code) {
        case ArgumentErrorCode::UnsupportedOption:
            return "not an option of this gateway";
        case ArgumentErrorCode::PathOutsideModule:
            return "not a path inside the module";
        case ArgumentErrorCode::ServerOptionMissing:
        case ArgumentErrorCode::PathMissing:
            return "missing";
        case ArgumentErrorCode::SeveralPushDestinations:
            return "a push goes to one";
    }
    return "";
}

}  // namespace

std::string describe(const ArgumentError& error) {
    return fmt::format("{}: {}", error.argument, reason(error.code));
}

std::variant<TransferOptions, ArgumentError> parseArguments(const std::vector<std::string>& arguments,
                                                            std::string_view module) {
    TransferOptions options;
    const auto endOfOptions = std::find(arguments.begin(), arguments.end(), kEndOfOptions);
    bool hasServerOption = false;
    for (auto it = arguments.begin(); it != endOfOptions; ++it) {
        if (*it == "--server")
            hasServerOption = true;
        else if (auto error = applyOption(*it, options))
            return *std::move(error);
    }
    const auto firstPath = endOfOptions == arguments.end() ? endOfOptions : std::next(endOfOptions);
    for (auto it = firstPath; it != arguments.end(); ++it)
        if (!isInsideModule(*it, module)) return ArgumentError{ArgumentErrorCode::PathOutsideModule, *it};
    const auto pathCount = std::distance(firstPath, arguments.end());
    if (!hasServerOption) return ArgumentError{ArgumentErrorCode::ServerOptionMissing, "--server"};
    if (pathCount == 0) return ArgumentError{ArgumentErrorCode::PathMissing, "path"};
    if (options.direction == Direction::Push && pathCount != 1)
        return ArgumentError{ArgumentErrorCode::SeveralPushDestinations, "path"};
    return options;
}

std::string encodeNodeArguments(const TransferRequest& request) {
    std::string lines;
    for (const auto& argument : request.arguments) {
        const bool hasModule = argument.starts_with(request.module);
        lines += hasModule ? request.nodeModule + argument.substr(request.module.size()) : argument;
        lines += '\n';
    }
    return lines + '\n';
}

}  // namespace wingproxy::rsync
