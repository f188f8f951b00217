/// \file
/// The arguments of a transfer: what a client asks for after its module was accepted, which of it the gateway
/// supports, and how it is passed on to a node.
///
/// Pure functions and values; no sockets.
#pragma once

#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace wingproxy::rsync {

/// Which way the files go, as the client sees it.
enum class Direction {
    Pull,  ///< the node sends files, the client receives them
    Push   ///< the client sends files, the node receives them
};

/// The options that change the shape of the transfer's streams. All others only change what the node does.
struct TransferOptions {
    Direction direction = Direction::Push;
    bool preserveOwner = false;  ///< `-o`: entries of the file list carry a user id
    bool preserveGroup = false;  ///< `-g`: entries of the file list carry a group id
    bool numericIds = false;     ///< `--numeric-ids`: no names of users and groups follow the file list
};

/// Why the arguments of a transfer are rejected.
enum class ArgumentErrorCode {
    UnsupportedOption,       ///< an option outside the supported subset
    PathOutsideModule,       ///< a path that does not start with the module, or that leaves it with ".."
    ServerOptionMissing,     ///< no `--server`: not the arguments of a client
    PathMissing,             ///< no path after the "." that ends the options
    SeveralPushDestinations  ///< a push names more than one path
};

/// The reason and the argument that it concerns.
struct ArgumentError {
    ArgumentErrorCode code;
    std::string argument;  ///< as the client sent it; a flag without those that it was grouped with
};

/// \return the message for the client, "ARGUMENT: REASON"
std::string describe(const ArgumentError& error);

/// Checks the arguments of a transfer.
/// \param arguments one a line, as the client sent them
/// \param module the name of the module that the client chose; every path has to lie inside it
std::variant<TransferOptions, ArgumentError> parseArguments(const std::vector<std::string>& arguments,
                                                            std::string_view module);

/// One transfer that a client asks for.
struct TransferRequest {
    std::string module;                  ///< the name that clients use
    std::string nodeModule;              ///< the name that the nodes have for the same module
    std::vector<std::string> arguments;  ///< as the client sent them
    TransferOptions options;
};

/// \return the arguments as they go to a node: one a line, the module's name replaced by the node's, and the
///         empty line that ends them
std::string encodeNodeArguments(const TransferRequest& request);

}  // namespace wingproxy::rsync
