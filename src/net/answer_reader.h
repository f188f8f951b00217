// One node's answer over HTTP/1.x as it comes, the same for attempts, probes and discovery: interim heads are
// skipped, and how it may end stands here once.
#pragma once

#include "net/http_step.h"

namespace wingproxy::net {

class AnswerReader {
public:
    using Parser = MessageReader<false>::Parser;
    AnswerReader(const RingBuffer& in, std::size_t mostBody) : mostBody_(mostBody) { again(in); }
    // Reads on in the head; true once the final one is whole.
    bool head(RingBuffer& in, boost::system::error_code& error) {
        while (reader_->head(in, error)) {
            const auto status = reader_->parser().get().result_int();
            if (status / 100 != 1 || status == 101 || interim_++ >= kMostInterim) return true;
            again(in);
        }
        return false;
    }
    std::size_t body(RingBuffer& in, char* to, std::size_t n, boost::system::error_code& error) {
        return reader_->body(in, to, n, error);
    }
    void append(RingBuffer& in, std::string& to, std::size_t most, boost::system::error_code& error) {
        reader_->append(in, to, most, error);
    }
    // The node ended its sending in order. In every version of HTTP that is the end of a body that has
    // neither a length nor chunks, and a break of any other that is not whole. A reset is no end of anything:
    // whoever reads its error does not come here.
    void closed(boost::system::error_code& error) {
        if (!done() && gotSome()) reader_->ended(error);
    }
    bool done() const { return reader_->done(); }
    bool gotSome() const { return reader_->gotSome(); }
    // Whether the connection may carry another exchange, as far as the node says.
    bool keepAlive() const {
        return done() && !reader_->parser().need_eof() && reader_->parser().keep_alive();
    }
    const Parser& parser() const { return reader_->parser(); }
    Parser& parser() { return reader_->parser(); }

private:
    static constexpr int kMostInterim = 8;  // no node has that many to say; endless ones end the answer
    void again(const RingBuffer& in) { reader_.emplace(in, mostBody_); }
    std::size_t mostBody_;
    int interim_ = 0;  // heads with 1xx so far
    std::optional<MessageReader<false>> reader_;
};

}  // namespace wingproxy::net
