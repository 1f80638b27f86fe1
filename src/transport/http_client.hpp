// A few persistent connections to one address; one request at a time on each.
#pragma once

#include <deque>
#include <functional>
#include <vector>

#include "protocol/wire.hpp"
#include "transport/event_types.hpp"

namespace walkford::transport {

class HttpClient {
  public:
    // Code 0: no answer.
    using Then = std::function<void(int code, std::string_view body)>;
    HttpClient(event_base* base, const std::string& address, std::size_t connections,
               long timeout_ms, bool keep);
    ~HttpClient();
    HttpClient(const HttpClient&) = delete;
    HttpClient& operator=(const HttpClient&) = delete;

    void send(protocol::HttpCall call, Then then);
    bool idle() const;

  private:
    struct PooledConnection {
        HttpConnection connection;
        bool busy = false;
    };
    struct Open {
        HttpClient* client;
        std::size_t connection_index;
        Then then;
        Event deadline;
        bool over = false;
    };
    struct Queued {
        protocol::HttpCall call;
        Then then;
    };
    static void on_done(evhttp_request* request, void* open);
    static void on_deadline(evutil_socket_t, short, void* open);
    void start(std::size_t connection_index, protocol::HttpCall call, Then then);
    void finish(Open* open, int code, std::string_view body);
    void connect(PooledConnection& connection_index);

    event_base* base_;
    std::string address_;
    std::string host_;
    std::uint16_t port_;
    long timeout_ms_;
    bool keep_;
    std::vector<PooledConnection> connections_;
    std::deque<Queued> queue_;
    std::vector<Open*> open_;
};

}  // namespace walkford::transport
