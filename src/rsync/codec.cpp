#include "rsync/codec.h"

#include <fmt/format.h>

#include <algorithm>
#include <charconv>
#include <utility>

namespace wingproxy::rsync {
namespace {

// Flags of a file list's entry.
constexpr unsigned kExtended = 1 << 2, kSameUid = 1 << 3, kSameGid = 1 << 4, kSameName = 1 << 5,
                   kLongName = 1 << 6, kSameTime = 1 << 7, kLinkData = 1 << 9, kSameMode = 1 << 1;
constexpr std::int32_t kMostName = 4096, kMostBlocks = 1 << 26, kMostSum = 16, kMostFilter = 64 * 1024;
constexpr std::size_t kFileSum = 16, kSumHead = 16;
constexpr int kFormatMask = 0170000, kRegular = 0100000, kDirectory = 0040000;
constexpr int kTagBase = 7;

void putInt(std::string& to, std::uint32_t value) {
    for (int i = 0; i < 4; ++i)
        to += static_cast<char>(value >> (8 * i) & 255);
}

std::uint32_t getInt(std::string_view from) {
    std::uint32_t value = 0;
    for (std::size_t i = 0; i < 4; ++i)
        value |= std::uint32_t(static_cast<unsigned char>(from[i])) << (8 * i);
    return value;
}

bool inside(std::string_view path, std::string_view module) {
    if (path.substr(0, module.size()) != module) return false;
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

}  // namespace

std::string greeting() { return fmt::format("@RSYNCD: {}\n", kVersion); }

bool parseGreeting(std::string_view line, int& version) {
    constexpr std::string_view kStart = "@RSYNCD: ";
    if (line.substr(0, kStart.size()) != kStart) return false;
    line.remove_prefix(kStart.size());
    const auto [end, error] = std::from_chars(line.data(), line.data() + line.size(), version);
    const bool whole = end == line.data() + line.size() || *end == '.' || *end == ' ';
    return error == std::errc() && whole && version > 0;
}

bool parseArguments(const std::vector<std::string>& arguments, const std::string& module, Options& options,
                    std::string& why) {
    options = {};
    bool server = false, dot = false;
    int paths = 0;
    const auto refuse = [&](const std::string& argument, std::string_view reason) {
        why = fmt::format("{}: {}", argument, reason);
        return false;
    };
    for (const auto& argument : arguments) {
        if (dot) {
            if (!inside(argument, module)) return refuse(argument, "not a path inside the module");
            ++paths;
        } else if (argument == ".") {
            dot = true;
        } else if (argument == "--server") {
            server = true;
        } else if (argument == "--sender") {
            options.pull = true;
        } else if (argument == "--numeric-ids") {
            options.numericIds = true;
        } else if (argument.size() > 1 && argument[0] == '-' && argument[1] != '-') {
            // v, q: what is said; t, p, r: times, modes, folders; l, D: links and devices, of which none may
            // come.
            for (std::size_t i = 1; i < argument.size() && argument[i] != 'e'; ++i) {
                if (std::string_view("vqtprlDog").find(argument[i]) == std::string_view::npos)
                    return refuse(fmt::format("-{}", argument[i]), "not an option of this gateway");
                options.owner |= argument[i] == 'o';
                options.group |= argument[i] == 'g';
            }
        } else {
            return refuse(argument, "not an option of this gateway");
        }
    }
    if (!server) return refuse("--server", "missing");
    if (!dot || paths == 0) return refuse("path", "missing");
    if (!options.pull && paths != 1) return refuse("path", "a push goes to one");
    return true;
}

std::string frame(int tag, std::string_view payload) {
    std::string out;
    putInt(out, std::uint32_t(kTagBase + tag) << 24 | std::uint32_t(payload.size()));
    return out.append(payload);
}

std::string errorStream(std::string_view text) {
    std::string out;
    putInt(out, 0);
    return out + frame(kError, text);
}

// ---------------------------------------------------------------- following

Progress Follower::feed(std::string_view bytes) {
    while (progress_ == Progress::Going && !bytes.empty()) {
        if (skip_ > 0) {
            const auto n = std::min<std::uint64_t>(skip_, bytes.size());
            skip_ -= n;
            bytes.remove_prefix(n);
            if (skip_ > 0) break;
        } else {
            const auto n = std::min(want_ - field_.size(), bytes.size());
            field_.append(bytes.substr(0, n));
            bytes.remove_prefix(n);
            if (field_.size() < want_) break;
        }
        const auto next = std::exchange(next_, nullptr);
        next();
    }
    if (progress_ == Progress::Done && !bytes.empty()) broken("bytes after the end");
    return progress_;
}

void Follower::want(std::size_t bytes, Step next) {
    field_.clear();
    want_ = bytes;
    next_ = std::move(next);
}

void Follower::skip(std::uint64_t bytes, Step next) {
    if (bytes == 0) return next();
    skip_ = bytes;
    next_ = std::move(next);
}

void Follower::broken(std::string why) {
    progress_ = Progress::Broken;
    why_ = std::move(why);
}

std::int32_t Follower::int32(std::size_t at) const {
    return static_cast<std::int32_t>(getInt(std::string_view(field_).substr(at)));
}

void Follower::longInt(std::function<void(std::int64_t)> next) {
    want(4, [this, next] {
        if (int32() != -1) return next(int32());
        want(8, [this, next] {
            next(static_cast<std::int64_t>(std::uint64_t(std::uint32_t(int32(4))) << 32 |
                                           std::uint32_t(int32())));
        });
    });
}

// ---------------------------------------------------------------- the sender's side

SenderStream::SenderStream(const Options& options, bool stats) : options_(options), stats_(stats) { entry(); }

void SenderStream::entry() {
    want(1, [this] {
        const unsigned flags = byte();
        if (flags == 0) return ids(0);
        if (!(flags & kExtended)) return name(flags);
        want(1, [this, flags] { name(flags | unsigned(byte()) << 8); });
    });
}

void SenderStream::name(unsigned flags) {
    if (flags & kLinkData) return broken("a file list with hard links");
    if (flags & kSameName)
        want(1, [this, flags] { nameLength(flags); });
    else
        nameLength(flags);
}

void SenderStream::nameLength(unsigned flags) {
    const auto pass = [this, flags](std::int32_t length) {
        if (length < 0 || length > kMostName) return broken("a name that is too long");
        skip(std::uint64_t(length), [this, flags] {
            longInt([this, flags](std::int64_t size) {
                if (size < 0) return broken("a file of a size below 0");
                skip(flags & kSameTime ? 0 : 4, [this, flags] { attributes(flags); });
            });
        });
    };
    if (flags & kLongName)
        want(4, [this, pass] { pass(int32()); });
    else
        want(1, [this, pass] { pass(byte()); });
}

void SenderStream::attributes(unsigned flags) {
    if (flags & kSameMode) {
        if (!hadMode_) return broken("an entry without a mode");
        return owners(flags);
    }
    want(4, [this, flags] {
        const int format = int32() & kFormatMask;
        if (format != kRegular && format != kDirectory) return broken("neither a regular file nor a folder");
        hadMode_ = true;
        owners(flags);
    });
}

void SenderStream::owners(unsigned flags) {
    const auto bytes =
        (options_.owner && !(flags & kSameUid) ? 4u : 0u) + (options_.group && !(flags & kSameGid) ? 4u : 0u);
    ++files_;
    skip(bytes, [this] { entry(); });
}

// The names of users and groups, each list where it was asked for, then the sender's word on read errors.
void SenderStream::ids(int lists) {
    if (lists == 2) return want(4, [this] { delta(); });
    if (options_.numericIds || !(lists == 0 ? options_.owner : options_.group)) return ids(lists + 1);
    want(4, [this, lists] {
        if (int32() == 0) return ids(lists + 1);
        want(1, [this, lists] { skip(byte(), [this, lists] { ids(lists); }); });
    });
}

void SenderStream::delta() {
    want(4, [this] {
        const auto file = int32();
        if (file == -1) {
            if (++phase_ < 2) return delta();
            return stats_ ? totals(3) : done();
        }
        if (file < 0 || file >= files_) return broken("a delta of a file that is not listed");
        want(kSumHead, [this] {
            const auto count = int32(0), length = int32(4), sum = int32(8), rest = int32(12);
            if (count < 0 || count > kMostBlocks || length < 0 || sum < 0 || sum > kMostSum || rest < 0 ||
                rest > length)
                return broken("a head of block sums out of range");
            token(count);
        });
    });
}

void SenderStream::token(std::int32_t count) {
    want(4, [this, count] {
        const auto token = int32();
        if (token == 0) return skip(kFileSum, [this] { delta(); });
        if (token > 0) {
            literal_ += std::uint64_t(token);
            return skip(std::uint64_t(token), [this, count] { this->token(count); });
        }
        if (-(std::int64_t(token) + 1) >= count) return broken("a block that the other side does not hold");
        ++blocks_;
        this->token(count);
    });
}

void SenderStream::totals(int left) {
    if (left == 0) return done();
    longInt([this, left](std::int64_t) { totals(left - 1); });
}

// ---------------------------------------------------------------- the generator's side

GeneratorStream::GeneratorStream(bool filters) {
    if (filters)
        filter();
    else
        file();
}

void GeneratorStream::filter() {
    want(4, [this] {
        const auto length = int32();
        if (length == 0) return file();
        if (length < 0 || length > kMostFilter) return broken("a filter rule that is too long");
        skip(std::uint64_t(length), [this] { filter(); });
    });
}

void GeneratorStream::file() {
    want(4, [this] {
        const auto index = int32();
        if (index == -1) {
            if (++phase_ == 3) return done();  // two phases and the goodbye
            return file();
        }
        if (index < 0) return broken("a file number below -1");
        want(kSumHead, [this] {
            const auto count = int32(0), sum = int32(8);
            if (count < 0 || count > kMostBlocks || sum < 0 || sum > kMostSum)
                return broken("a head of block sums out of range");
            skip(std::uint64_t(count) * std::uint64_t(4 + sum), [this] { file(); });
        });
    });
}

// ---------------------------------------------------------------- frames

Progress MuxStream::broken(std::string why) {
    broken_ = true;
    why_ = std::move(why);
    return Progress::Broken;
}

Progress MuxStream::feed(std::string_view bytes) {
    if (broken_) return Progress::Broken;
    while (!bytes.empty()) {
        if (seed_ > 0 || (payload_ > 0 && !data_)) {
            auto& left = seed_ > 0 ? seed_ : payload_;
            const auto n = std::min(left, bytes.size());
            left -= n;
            bytes.remove_prefix(n);
        } else if (payload_ > 0) {
            const auto n = std::min(payload_, bytes.size());
            payload_ -= n;
            if (inner_.feed(bytes.substr(0, n)) == Progress::Broken) return broken(inner_.why());
            bytes.remove_prefix(n);
        } else {
            const auto n = std::min(4 - head_.size(), bytes.size());
            head_.append(bytes.substr(0, n));
            bytes.remove_prefix(n);
            if (head_.size() < 4) break;
            const auto head = getInt(head_);
            head_.clear();
            const int tag = int(head >> 24) - kTagBase;
            // Data, and the words for the user: errors, information, the daemon's log.
            if (tag < kData || tag > 3) return broken(fmt::format("a frame with the unknown tag {}", tag));
            payload_ = head & 0xFFFFFF;
            data_ = tag == kData;
        }
    }
    return inner_.progress();
}

}  // namespace wingproxy::rsync
