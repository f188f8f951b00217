// Which texts are accepted as an IPv4 address and a port.
#include "config/endpoint.h"

#include "config_test_support.h"

using namespace wingproxy;
using namespace wingproxy::test;

TEST_CASE("endpoint: an IPv4 address and a port are accepted") {
    CHECK(config::parseEndpoint("127.0.0.1:80", "listen") == config::Endpoint{"127.0.0.1", 80});
    CHECK(config::parseEndpoint("255.0.10.9:65535", "listen") == config::Endpoint{"255.0.10.9", 65535});
}

TEST_CASE("endpoint: an error names the field and the text") {
    CHECK(errorOf([] { config::parseEndpoint("host:80", "listen"); }) ==
          "listen: 'host:80' is not an IPv4 address and a port");
}

TEST_CASE("endpoint: anything but four octets and a port is rejected") {
    for (const char* invalid :
         {"", ":", "127.0.0.1", "127.0.0.1:", "127.0.0.1:65536", "127.0.0.1:8x", "127.0.0:80",
          "127.0.0.1.2:80", "127.0.0.256:80", "127..0.1:80", "127.0.0.1.:80"})
        CHECK_MESSAGE(errorOf([&] { config::parseEndpoint(invalid, "listen"); }) != "", invalid);
}
