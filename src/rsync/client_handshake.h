/// \file
/// The daemon's side of the handshake with a client, which sends its greeting, module and arguments line by
/// line. Keeps the handshake's state and renders the replies; no I/O.
#pragma once

#include <string>
#include <string_view>
#include <utility>

#include "config/operator_config.h"
#include "rsync/transfer_request.h"

namespace wingproxy::rsync {

/// Why a client's connection ends before a transfer.
enum class HandshakeErrorCode {
    NotAGreeting,          ///< the first line is not an rsync greeting
    VersionTooOld,         ///< a protocol version below 28
    UnknownModule,         ///< detail: the name of the module
    UnsupportedArguments,  ///< detail: describe(ArgumentError)
    TooManyArguments,
    LineTooLong,  ///< a line does not fit into the receive buffer
    Timeout,      ///< the handshake was not complete in time
    WriteOnly,    ///< a pull from a module that allows only pushes
    ReadOnly      ///< a push to a module that allows only pulls
};

/// The error code and, for the codes whose comment names one, its detail.
struct HandshakeError {
    HandshakeErrorCode code;
    std::string detail;
};

/// \return the message for the client
std::string describe(const HandshakeError& error);

/// \return the class index of transfers in this direction; none (`isNone()`) if the module does not allow
/// them
ClassIndex classIndex(const config::RsyncModule& module, Direction direction);

/// The daemon's side of the handshake with one client.
class ClientHandshake {
public:
    /// What the session does after a line, once it has sent the reply.
    enum class Step {
        ReadNextLine,
        StartTransfer,    ///< the arguments are complete and valid: module() and takeRequest() are set
        CloseAfterList,   ///< the reply is the module list
        CloseAfterError,  ///< the reply is an error message
    };
    /// The reply to a line.
    struct Reply {
        Step step = Step::ReadNextLine;
        std::string text;  ///< bytes for the client; may be empty
    };

    /// \param config must outlive this object
    explicit ClientHandshake(const config::RsyncFront& config) : config_(config) {}

    /// Handles the client's next line, without its end of line. Must not be called after a step that ends
    /// the handshake.
    Reply onLine(const std::string& line);

    /// \return the reply that ends the handshake with an error: a line before the module is accepted,
    ///         afterwards an error frame, as the client then expects a multiplexed stream
    Reply reject(const HandshakeError& error) const;

    /// The module that the client requested. Valid after StartTransfer.
    const config::RsyncModule& module() const { return *module_; }
    /// Moves out the requested transfer. May be called once, after StartTransfer.
    TransferRequest takeRequest() { return std::move(request_); }

private:
    enum class Stage { Greeting, Module, Arguments };

    Reply onGreeting(std::string_view line);
    Reply onModule(const std::string& name);
    Reply onArgument(const std::string& argument);
    Reply finishArguments();
    std::string moduleList() const;

    const config::RsyncFront& config_;
    Stage stage_ = Stage::Greeting;
    const config::RsyncModule* module_ = nullptr;
    TransferRequest request_;
};

}  // namespace wingproxy::rsync
