#include "rsync/client_handshake.h"

#include <fmt/format.h>

#include <algorithm>
#include <cstddef>
#include <variant>

#include "rsync/protocol.h"

namespace wingproxy::rsync {
namespace {

/// Limit of this gateway; clients send fewer than 25 arguments.
constexpr std::size_t kMaxArguments = 256;
/// Requests the module list, as an empty line does.
constexpr std::string_view kListCommand = "#list";

}  // namespace

std::string describe(const HandshakeError& error) {
    switch (error.code) {
        case HandshakeErrorCode::NotAGreeting:
            return "protocol startup error";
        case HandshakeErrorCode::VersionTooOld:
            return fmt::format("protocol {} or newer is needed", kProtocolVersion);
        case HandshakeErrorCode::UnknownModule:
            return fmt::format("Unknown module '{}'", error.detail);
        case HandshakeErrorCode::UnsupportedArguments:
            return error.detail;
        case HandshakeErrorCode::TooManyArguments:
            return "too many arguments";
        case HandshakeErrorCode::LineTooLong:
            return "a line that is too long";
        case HandshakeErrorCode::Timeout:
            return "timeout waiting for the request";
        case HandshakeErrorCode::WriteOnly:
            return "module is write only";
        case HandshakeErrorCode::ReadOnly:
            return "module is read only";
    }
    return "";
}

ClassIndex classIndex(const config::RsyncModule& module, Direction direction) {
    switch (direction) {
        case Direction::Pull:
            return module.pullClass;
        case Direction::Push:
            return module.pushClass;
    }
    return {};
}

ClientHandshake::Reply ClientHandshake::onLine(const std::string& line) {
    switch (stage_) {
        case Stage::Greeting:
            return onGreeting(line);
        case Stage::Module:
            return onModule(line);
        case Stage::Arguments:
            return line.empty() ? finishArguments() : onArgument(line);
    }
    return {};
}

ClientHandshake::Reply ClientHandshake::reject(const HandshakeError& error) const {
    const auto text = errorLine(describe(error));
    return {Step::CloseAfterError, stage_ == Stage::Arguments ? errorStream(text) : text};
}

ClientHandshake::Reply ClientHandshake::onGreeting(std::string_view line) {
    const auto version = parseGreeting(line);
    if (!version) return reject({HandshakeErrorCode::NotAGreeting, {}});
    if (*version < kProtocolVersion) return reject({HandshakeErrorCode::VersionTooOld, {}});
    stage_ = Stage::Module;
    return {Step::ReadNextLine, config_.motd.empty() ? "" : config_.motd + "\n"};
}

ClientHandshake::Reply ClientHandshake::onModule(const std::string& name) {
    if (name.empty() || name == kListCommand) return {Step::CloseAfterList, moduleList()};
    const auto& modules = config_.modules;
    const auto it = std::find_if(modules.begin(), modules.end(),
                                 [&](const config::RsyncModule& module) { return module.name == name; });
    if (it == modules.end()) return reject({HandshakeErrorCode::UnknownModule, name});
    module_ = &*it;
    stage_ = Stage::Arguments;
    return {Step::ReadNextLine, fmt::format("{}\n", kModuleAccepted)};
}

ClientHandshake::Reply ClientHandshake::onArgument(const std::string& argument) {
    if (request_.arguments.size() == kMaxArguments) return reject({HandshakeErrorCode::TooManyArguments, {}});
    request_.arguments.push_back(argument);
    return {};
}

ClientHandshake::Reply ClientHandshake::finishArguments() {
    const auto parsed = parseArguments(request_.arguments, module_->name);
    if (const auto* error = std::get_if<ArgumentError>(&parsed))
        return reject({HandshakeErrorCode::UnsupportedArguments, describe(*error)});
    request_.options = std::get<TransferOptions>(parsed);
    const auto direction = request_.options.direction;
    if (classIndex(*module_, direction).isNone()) {
        const bool isPull = direction == Direction::Pull;
        return reject({isPull ? HandshakeErrorCode::WriteOnly : HandshakeErrorCode::ReadOnly, {}});
    }
    request_.module = module_->name;
    request_.nodeModule = module_->nodeModule;
    return {Step::StartTransfer, {}};
}

std::string ClientHandshake::moduleList() const {
    constexpr int kNameColumn = 15;
    std::string list;
    for (const auto& module : config_.modules)
        list += fmt::format("{:<{}}\t{}\n", module.name, kNameColumn, module.comment);
    return list + fmt::format("{}\n", kListEnd);
}

}  // namespace wingproxy::rsync
