// Owning handles for libevent objects, and conversions to libevent types.
#pragma once

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/http_struct.h>
#include <event2/listener.h>

#include <cstdint>
#include <cstdlib>
#include <memory>
#include <string>

namespace walkford::transport {

// A deleter for std::unique_ptr that calls the given libevent function.
template <auto Free>
struct FunctionDeleter {
    template <typename T>
    void operator()(T* object) const {
        Free(object);
    }
};
using EventBase = std::unique_ptr<event_base, FunctionDeleter<event_base_free>>;
using Event = std::unique_ptr<event, FunctionDeleter<event_free>>;
using HttpServerHandle = std::unique_ptr<evhttp, FunctionDeleter<evhttp_free>>;
using HttpConnection = std::unique_ptr<evhttp_connection, FunctionDeleter<evhttp_connection_free>>;
using Listener = std::unique_ptr<evconnlistener, FunctionDeleter<evconnlistener_free>>;
using BufferEvent = std::unique_ptr<bufferevent, FunctionDeleter<bufferevent_free>>;

// Converts a duration in milliseconds.
inline timeval to_timeval(long span_ms) { return {span_ms / 1000, (span_ms % 1000) * 1000}; }

// A network address split into host and port.
struct HostAndPort {
    std::string host;
    std::uint16_t port = 0;
};

// Splits an address such as "10.0.0.1:8080". The port is not validated here, as loading the
// settings has validated it; it is 0 if the address has none.
inline HostAndPort split_address(const std::string& address) {
    auto colon = address.rfind(':');
    if (colon == std::string::npos) {
        return {address, 0};
    }
    int port = std::atoi(address.c_str() + colon + 1);
    return {address.substr(0, colon), static_cast<std::uint16_t>(port)};
}

}  // namespace walkford::transport
