// The logger: the format of a line, and the threshold.
#include <doctest/doctest.h>

#include <string>

#include "log/log.h"
#include "support/captured_log.h"

using namespace wingproxy;

namespace {

/// \return the text that `write` logs with this threshold
template <typename Function>
std::string logged(log::Level threshold, Function&& write) {
    const test::CapturedLog captured;
    log::Logger logger(threshold, captured.stream());
    write(logger);
    return captured.text();
}

}  // namespace

TEST_CASE("log: a line has the level's name and the formatted message") {
    CHECK(logged(log::Level::Debug, [](log::Logger& logger) {
              logger.debug("a {}", 1);
              logger.info("b");
              logger.warn("c");
              logger.error("d {}", "e");
          }) == "debug: a 1\ninfo: b\nwarn: c\nerror: d e\n");
}

TEST_CASE("log: levels below the threshold are not written") {
    CHECK(logged(log::Level::Warn, [](log::Logger& logger) {
              logger.info("a");
              logger.warn("b");
          }) == "warn: b\n");
}

TEST_CASE("log: control characters in a message are replaced by spaces") {
    CHECK(logged(log::Level::Info, [](log::Logger& logger) { logger.info("a\nb\tc"); }) == "info: a b c\n");
}

TEST_CASE("log: a level is parsed from its name, and an unknown name is Info") {
    CHECK(log::parseLevel("debug") == log::Level::Debug);
    CHECK(log::parseLevel("info") == log::Level::Info);
    CHECK(log::parseLevel("warn") == log::Level::Warn);
    CHECK(log::parseLevel("error") == log::Level::Error);
    CHECK(log::parseLevel("loud") == log::Level::Info);
}
