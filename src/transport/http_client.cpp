#include "transport/http_client.hpp"

#include <algorithm>

namespace walkford::transport {

namespace {
constexpr ssize_t kMostAnswer = ssize_t{8} * 1024 * 1024;
}  // namespace

HttpClient::HttpClient(event_base* base, const std::string& address, std::size_t connections,
                       long timeout_ms, bool keep)
    : base_(base), address_(address), timeout_ms_(timeout_ms), keep_(keep) {
    std::tie(host_, port_) = split_address(address);
    connections_.resize(connections);
}

HttpClient::~HttpClient() {
    // Freeing a connection calls back for its request; nobody is to hear of it any more.
    for (Open* open : open_) {
        open->over = true;
    }
    connections_.clear();
    for (Open* open : open_) {
        delete open;
    }
}

bool HttpClient::idle() const { return open_.empty() && queue_.empty(); }

void HttpClient::connect(PooledConnection& connection_index) {
    connection_index.connection.reset(
        evhttp_connection_base_bufferevent_new(base_, nullptr, nullptr, host_.c_str(), port_));
    if (connection_index.connection) {
        evhttp_connection_set_max_body_size(connection_index.connection.get(), kMostAnswer);
    }
}

void HttpClient::send(protocol::HttpCall call, Then then) {
    for (std::size_t i = 0; i < connections_.size(); ++i) {
        if (!connections_[i].busy) {
            start(i, std::move(call), std::move(then));
            return;
        }
    }
    queue_.push_back({std::move(call), std::move(then)});
}

void HttpClient::start(std::size_t index, protocol::HttpCall call, Then then) {
    PooledConnection& connection_index = connections_[index];
    if (!connection_index.connection) {
        connect(connection_index);
    }
    connection_index.busy = true;
    auto* open = new Open{this, index, std::move(then), nullptr};
    open_.push_back(open);
    evhttp_request* request = evhttp_request_new(on_done, open);
    if (!connection_index.connection || !request) {
        if (request) {
            evhttp_request_free(request);
        }
        finish(open, 0, {});
        return;
    }
    evkeyvalq* headers = evhttp_request_get_output_headers(request);
    evhttp_add_header(headers, "Host", address_.c_str());
    if (!keep_) {
        evhttp_add_header(headers, "Connection", "close");
    }
    if (!call.body.empty()) {
        evhttp_add_header(headers, "Content-Type", "application/msgpack");
        evbuffer_add(evhttp_request_get_output_buffer(request), call.body.data(), call.body.size());
    }
    // One deadline for the whole call: the library's own timeouts start anew with every byte.
    open->deadline.reset(evtimer_new(base_, on_deadline, open));
    timeval tv = to_timeval(timeout_ms_);
    evtimer_add(open->deadline.get(), &tv);
    evhttp_cmd_type method = call.method == protocol::Method::get    ? EVHTTP_REQ_GET
                             : call.method == protocol::Method::post ? EVHTTP_REQ_POST
                                                                     : EVHTTP_REQ_DELETE;
    if (evhttp_make_request(connection_index.connection.get(), request, method,
                            call.path.c_str()) != 0) {
        // The request is freed by the library, and on_done isn't called.
        if (std::find(open_.begin(), open_.end(), open) != open_.end()) {
            finish(open, 0, {});
        }
    }
}

void HttpClient::on_done(evhttp_request* request, void* arg) {
    auto* open = static_cast<Open*>(arg);
    if (open->over) {
        return;
    }
    int code = request ? evhttp_request_get_response_code(request) : 0;
    std::string body;
    if (request && code != 0) {
        evbuffer* in = evhttp_request_get_input_buffer(request);
        std::size_t size = evbuffer_get_length(in);
        if (size > 0) {
            body.assign(reinterpret_cast<const char*>(evbuffer_pullup(in, -1)), size);
        }
    }
    open->client->finish(open, code, body);
}

void HttpClient::on_deadline(evutil_socket_t, short, void* arg) {
    auto* open = static_cast<Open*>(arg);
    HttpClient* client = open->client;
    // The answer may still come: it must not be taken for another's, so the connection goes.
    open->over = true;
    client->connections_[open->connection_index].connection.reset();
    client->finish(open, 0, {});
}

void HttpClient::finish(Open* open, int code, std::string_view body) {
    open->over = true;
    std::erase(open_, open);
    std::size_t index = open->connection_index;
    Then then = std::move(open->then);
    std::unique_ptr<Open> freed(open);
    connections_[index].busy = false;
    if (!queue_.empty()) {
        // Later: this may run inside the connection's own callback.
        auto* again = new std::pair<HttpClient*, std::size_t>(this, index);
        timeval now{0, 0};
        connections_[index].busy = true;
        event_base_once(
            base_, -1, EV_TIMEOUT,
            [](evutil_socket_t, short, void* p) {
                std::unique_ptr<std::pair<HttpClient*, std::size_t>> pair(
                    static_cast<std::pair<HttpClient*, std::size_t>*>(p));
                auto [client, connection_index] = *pair;
                client->connections_[connection_index].busy = false;
                if (client->queue_.empty()) {
                    return;
                }
                Queued next = std::move(client->queue_.front());
                client->queue_.pop_front();
                client->start(connection_index, std::move(next.call), std::move(next.then));
            },
            again, &now);
    }
    then(code, body);
}

}  // namespace walkford::transport
