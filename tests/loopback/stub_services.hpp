// Stub implementations of the platform's services on real sockets, for tests that run the real
// program.
#pragma once

#include <arpa/inet.h>
#include <gtest/gtest.h>
#include <netinet/in.h>
#include <unistd.h>

#include <chrono>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "protocol/messagepack_codec.hpp"
#include "transport/event_types.hpp"

namespace walkford::transport {

using protocol::pack;
using protocol::unpack;

// Returns a port on which nothing listens at the given address.
inline std::uint16_t free_port(const char* address = "127.0.0.1") {
    int socket_fd = socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in socket_address{};
    socket_address.sin_family = AF_INET;
    inet_pton(AF_INET, address, &socket_address.sin_addr);
    socklen_t size = sizeof socket_address;
    EXPECT_EQ(bind(socket_fd, reinterpret_cast<sockaddr*>(&socket_address), sizeof socket_address),
              0);
    getsockname(socket_fd, reinterpret_cast<sockaddr*>(&socket_address), &size);
    close(socket_fd);
    return ntohs(socket_address.sin_port);
}

// An HTTP server whose handler receives method, path and body and returns a status code and a body.
class StubHttpServer {
  public:
    using Handler = std::function<std::pair<int, Json>(const std::string& method,
                                                       const std::string& path, const Json& body)>;
    StubHttpServer(event_base* base, Handler handler, const std::string& ip = "127.0.0.1")
        : handler_(std::move(handler)), http_(evhttp_new(base)) {
        evhttp_set_allowed_methods(http_.get(),
                                   EVHTTP_REQ_GET | EVHTTP_REQ_POST | EVHTTP_REQ_DELETE);
        evhttp_set_gencb(
            http_.get(),
            [](evhttp_request* request, void* self) {
                static_cast<StubHttpServer*>(self)->handle_request(request);
            },
            this);
        auto* bound = evhttp_bind_socket_with_handle(http_.get(), ip.c_str(), 0);
        sockaddr_in socket_address{};
        socklen_t size = sizeof socket_address;
        getsockname(evhttp_bound_socket_get_fd(bound), reinterpret_cast<sockaddr*>(&socket_address),
                    &size);
        address = ip + ":" + std::to_string(ntohs(socket_address.sin_port));
    }
    std::string address;

  private:
    void handle_request(evhttp_request* request) {
        evbuffer* input = evhttp_request_get_input_buffer(request);
        std::size_t size = evbuffer_get_length(input);
        std::string body(size, '\0');
        evbuffer_remove(input, body.data(), size);
        auto command = evhttp_request_get_command(request);
        const char* method = command == EVHTTP_REQ_GET    ? "GET"
                             : command == EVHTTP_REQ_POST ? "POST"
                                                          : "DELETE";
        auto [status_code, answer] = handler_(method, evhttp_request_get_uri(request),
                                              unpack(body).value_or(Json::object()));
        std::string packed = pack(answer);
        evbuffer_add(evhttp_request_get_output_buffer(request), packed.data(), packed.size());
        evhttp_send_reply(request, status_code, "-", nullptr);
    }
    Handler handler_;
    HttpServerHandle http_;
};

// An in-memory store without rate or size limits. A watch returns immediately instead of waiting.
struct StubStore {
    std::map<std::string, std::pair<Json, std::uint64_t>> rows;
    std::map<std::string, std::uint64_t> lease_by_key;
    std::map<std::uint64_t, std::pair<std::int64_t, std::chrono::steady_clock::time_point>> leases;
    std::vector<Json> change_log;
    std::uint64_t revision = 0, next_lease_id = 1;

    void expire_leases() {
        auto now = std::chrono::steady_clock::now();
        for (auto it = leases.begin(); it != leases.end();) {
            if (now < it->second.second) {
                ++it;
                continue;
            }
            for (auto& [key, lease] : std::map(lease_by_key)) {
                if (lease != it->first) {
                    continue;
                }
                rows.erase(key);
                lease_by_key.erase(key);
                change_log.push_back(Json{{"drop", key}, {"stamp", ++revision}});
            }
            it = leases.erase(it);
        }
    }
    static std::string query_parameter(const std::string& path, const std::string& name) {
        auto at = path.find(name + "=");
        if (at == std::string::npos) {
            return "";
        }
        at += name.size() + 1;
        return path.substr(at, path.find('&', at) - at);
    }
    std::pair<int, Json> handle_request(const std::string& method, const std::string& path,
                                        const Json& body) {
        expire_leases();
        if (path.rfind("/changes", 0) == 0) {
            Json events = Json::array();
            std::uint64_t after = std::stoull(query_parameter(path, "after"));
            for (const Json& event : change_log) {
                if (event["stamp"].get<std::uint64_t>() > after) {
                    events.push_back(event);
                }
            }
            return {200, Json{{"ledgerRev", revision}, {"events", events}}};
        }
        if (path.rfind("/keys?", 0) == 0) {
            Json list = Json::array();
            for (auto& [key, row] : rows) {
                if (key.rfind(query_parameter(path, "prefix"), 0) == 0) {
                    list.push_back(Json{{"k", key}, {"value", row.first}, {"stamp", row.second}});
                }
            }
            return {200, Json{{"rows", list}, {"truncated", false}, {"ledgerRev", revision}}};
        }
        if (path.rfind("/keys/", 0) == 0) {
            auto it = rows.find(path.substr(6));
            if (it == rows.end()) {
                return {404, Json{{"ledgerRev", revision}}};
            }
            return {
                200,
                Json{{"k", it->first}, {"value", it->second.first}, {"stamp", it->second.second}}};
        }
        if (path == "/leases") {
            auto ttl_ms = body.at("lifeMs").get<std::int64_t>();
            leases[next_lease_id] = {
                ttl_ms, std::chrono::steady_clock::now() + std::chrono::milliseconds(ttl_ms)};
            return {200, Json{{"permit", next_lease_id++}}};
        }
        if (path.rfind("/leases/", 0) == 0) {
            auto it = leases.find(std::stoull(path.substr(8)));
            if (it == leases.end()) {
                return {404, Json::object()};
            }
            it->second.second =
                std::chrono::steady_clock::now() +
                std::chrono::milliseconds(method == "DELETE" ? -1 : it->second.first);
            expire_leases();
            return {200, Json{{"permit", 1}}};
        }
        return commit_transaction(body);
    }
    std::pair<int, Json> commit_transaction(const Json& body) {
        Json failed = Json::array();
        for (const Json& condition : body.at("if")) {
            auto it = rows.find(condition["k"].get<std::string>());
            if ((it == rows.end() ? 0 : it->second.second) !=
                condition["stamp"].get<std::uint64_t>()) {
                failed.push_back(condition["k"]);
            }
        }
        if (!failed.empty()) {
            return {409, Json{{"failed", failed}, {"ledgerRev", revision}}};
        }
        ++revision;
        for (const Json& write : body.at("writes")) {
            if (write.contains("drop")) {
                if (rows.erase(write["drop"].get<std::string>())) {
                    change_log.push_back(Json{{"drop", write["drop"]}, {"stamp", revision}});
                }
                continue;
            }
            auto key = write["write"].get<std::string>();
            rows[key] = {write["value"], revision};
            if (write.contains("permit")) {
                lease_by_key[key] = write["permit"].get<std::uint64_t>();
            }
            change_log.push_back(
                Json{{"write", key}, {"value", write["value"]}, {"stamp", revision}});
        }
        return {200, Json{{"ledgerRev", revision}}};
    }
};

}  // namespace walkford::transport
