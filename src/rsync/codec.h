// The rsync daemon protocol, version 28, as far as this gateway follows it. No sockets: bytes in, findings
// out.
//
// One version is spoken because newer clients and daemons agree on the lower of the two, and 28 is the last
// one whose streams hold nothing that depends on negotiated features.
#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace wingproxy::rsync {

constexpr int kVersion = 28;
std::string greeting();                                   // "@RSYNCD: 28\n"
bool parseGreeting(std::string_view line, int& version);  // "@RSYNCD: 31.0 md5" too

// The arguments of a transfer, one a line, as a client sends them after the module was accepted.
struct Options {
    bool pull = false, owner = false, group = false, numericIds = false;
};
// False with the reason where an argument is none of the subset; paths must lie inside the module.
bool parseArguments(const std::vector<std::string>& arguments, const std::string& module, Options& options,
                    std::string& why);

std::string frame(int tag, std::string_view payload);  // one frame of a multiplexed stream
constexpr int kData = 0, kError = 1;
// What a client that waits for a transfer's stream reads as an error: a seed, then the text as a frame.
std::string errorStream(std::string_view text);

enum class Progress { Going, Done, Broken };

// Follows a byte stream whose shape is known field by field, without keeping it.
class Follower {
public:
    Progress feed(std::string_view bytes);
    Progress progress() const { return progress_; }
    const std::string& why() const { return why_; }

protected:
    using Step = std::function<void()>;
    void want(std::size_t bytes, Step next);  // a small field, then read with the functions below
    void skip(std::uint64_t bytes, Step next);
    void done() { progress_ = Progress::Done; }
    void broken(std::string why);
    std::int32_t int32(std::size_t at = 0) const;
    std::uint8_t byte() const { return static_cast<std::uint8_t>(field_[0]); }
    void longInt(std::function<void(std::int64_t)> next);  // 4 bytes, or -1 and 8

private:
    std::string field_, why_;
    std::size_t want_ = 0;
    std::uint64_t skip_ = 0;
    Step next_;
    Progress progress_ = Progress::Going;
};

// What the side that has the files sends: the file list, then for each file asked for its delta: literal
// bytes and numbers of blocks that the other side holds.
class SenderStream : public Follower {
public:
    SenderStream(const Options& options, bool stats);  // stats: a daemon sends its totals at the end
    int files() const { return files_; }
    std::uint64_t literalBytes() const { return literal_; }
    std::uint64_t blocks() const { return blocks_; }

private:
    void entry();
    void name(unsigned flags);
    void nameLength(unsigned flags);
    void attributes(unsigned flags);
    void owners(unsigned flags);
    void ids(int lists);
    void delta();
    void token(std::int32_t count);
    void totals(int left);
    Options options_;
    bool stats_;
    int files_ = 0, phase_ = 0;
    bool hadMode_ = false;
    std::uint64_t literal_ = 0, blocks_ = 0;
};

// What the side that wants the files sends: for each file the sums of the blocks that it holds.
class GeneratorStream : public Follower {
public:
    explicit GeneratorStream(bool filters);  // a pulling client sends its filter list first
private:
    void filter();
    void file();
    int phase_ = 0;
};

// A daemon's output: a seed of 4 bytes, then frames; what its data frames hold goes to the inner stream.
class MuxStream {
public:
    explicit MuxStream(Follower& inner) : inner_(inner) {}
    Progress feed(std::string_view bytes);  // Done as soon as the inner stream is
    const std::string& why() const { return why_; }

private:
    Progress broken(std::string why);
    Follower& inner_;
    std::size_t seed_ = 4, payload_ = 0;  // what is still to come of the seed, of the frame
    bool data_ = false, broken_ = false;
    std::string head_, why_;
};

}  // namespace wingproxy::rsync
