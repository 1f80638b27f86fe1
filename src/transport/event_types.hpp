// Owning handles for libevent's objects, and conversions to its types.
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

// A deleter that calls one of libevent's functions.
template <auto Free>
struct FreeWith {
    // Called by std::unique_ptr.
    template <typename T>
    void operator()(T* object) const {
        Free(object);
    }
};
using EventBase = std::unique_ptr<event_base, FreeWith<event_base_free>>;
using Event = std::unique_ptr<event, FreeWith<event_free>>;
using HttpServerHandle = std::unique_ptr<evhttp, FreeWith<evhttp_free>>;
using HttpConnection = std::unique_ptr<evhttp_connection, FreeWith<evhttp_connection_free>>;
using Listener = std::unique_ptr<evconnlistener, FreeWith<evconnlistener_free>>;
using BufferEvent = std::unique_ptr<bufferevent, FreeWith<bufferevent_free>>;

// A span in milliseconds.
inline timeval to_timeval(long span_ms) { return {span_ms / 1000, (span_ms % 1000) * 1000}; }

// An address, divided.
struct HostAndPort {
    std::string host;
    std::uint16_t port = 0;
};

// Divides "10.0.0.1:8080"; the settings have been checked.
inline HostAndPort split_address(const std::string& address) {
    auto colon = address.rfind(':');
    if (colon == std::string::npos) {
        return {address, 0};
    }
    int port = std::atoi(address.c_str() + colon + 1);
    return {address.substr(0, colon), static_cast<std::uint16_t>(port)};
}

}  // namespace walkford::transport
