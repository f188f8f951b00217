/// \file
/// The arguments of a transfer, which a client sends after its module was accepted: validates them against
/// the subset that the gateway supports, and encodes them for a node. Pure functions and values; no I/O.
#pragma once

#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace wingproxy::rsync {

/// The direction in which files are sent, from the client's point of view.
enum class Direction {
    Pull,  ///< the node sends files, the client receives them
    Push   ///< the client sends files, the node receives them
};

/// The options that change the format of the transfer's streams. All others affect only the node.
struct TransferOptions {
    Direction direction = Direction::Push;
    bool preserveOwner = false;  ///< `-o`: entries of the file list carry a user id
    bool preserveGroup = false;  ///< `-g`: entries of the file list carry a group id
    bool numericIds = false;     ///< `--numeric-ids`: no names of users and groups follow the file list
};

/// Why the arguments of a transfer are rejected.
enum class ArgumentErrorCode {
    UnsupportedOption,       ///< an option that the gateway does not support
    PathOutsideModule,       ///< a path that does not start with the module, or that leaves it with ".."
    ServerOptionMissing,     ///< no `--server`: not the arguments of a client
    PathMissing,             ///< no path after the "." that ends the options
    SeveralPushDestinations  ///< a push names more than one path
};

/// The error code and the argument that it refers to.
struct ArgumentError {
    ArgumentErrorCode code;
    /// As the client sent it; of a group of flags only the unsupported one, "-z" for "-tz". "--server" or
    /// "path" if the error is not about one argument.
    std::string argument;
};

/// \return the message for the client, "ARGUMENT: REASON"
std::string describe(const ArgumentError& error);

/// Parses the arguments of a transfer.
/// \param arguments one for each line, as the client sent them
/// \param module the name of the requested module; every path has to lie inside it
std::variant<TransferOptions, ArgumentError> parseArguments(const std::vector<std::string>& arguments,
                                                            std::string_view module);

/// A transfer that a client requests.
struct TransferRequest {
    std::string module;                  ///< the module's name for clients
    std::string nodeModule;              ///< the module's name at the nodes
    std::vector<std::string> arguments;  ///< as the client sent them
    TransferOptions options;
};

/// \return the arguments for a node: one on each line, with the module's name at the nodes, and an empty line
///         at the end
std::string encodeNodeArguments(const TransferRequest& request);

}  // namespace wingproxy::rsync
