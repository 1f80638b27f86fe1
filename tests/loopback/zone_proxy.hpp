// A TCP proxy between hosts of several networks. Traffic can be cut by pair of networks and
// direction; data that is cut is discarded without an error, as by a network that drops packets.
#pragma once

#include <boost/asio/ip/network_v4.hpp>
#include <list>
#include <memory>
#include <string>
#include <vector>

#include "transport/event_types.hpp"

namespace walkford::transport {

class ZoneProxy {
  public:
    using Address = boost::asio::ip::address_v4;
    using Network = boost::asio::ip::network_v4;

    explicit ZoneProxy(event_base* base) : base_(base) {}

    // Returns the address at which the host `from` reaches `target` ("address:port").
    std::string link(const std::string& from, const std::string& target);

    // Discards all traffic from one network to the other from now on.
    void cut(const std::string& from_network, const std::string& to_network);
    // Ends all cuts. Closes the connections that have lost data.
    void heal();

  private:
    struct Link {
        ZoneProxy* proxy = nullptr;
        Address from, to;
        std::string target;
        Listener listener;
    };
    struct Stream {
        Link* link = nullptr;
        BufferEvent client, server;
        bool lost_data = false;
        bool closing = false;
    };
    struct Cut {
        Network from, to;
    };

    static bool contains(const Network& network, const Address& address);
    bool is_cut(const Address& from, const Address& to) const;
    static bool is_forward_cut(const Stream& stream);
    static bool is_backward_cut(const Stream& stream);
    static void on_accept(evconnlistener*, evutil_socket_t socket, sockaddr*, int, void* link);
    static void on_client_data(bufferevent*, void* arg);
    static void on_server_data(bufferevent*, void* arg);
    static void on_event(bufferevent* side, short events, void* arg);
    static void on_drained(bufferevent*, void* arg);
    void open(Link& link, evutil_socket_t socket);
    void close(Stream* stream);

    event_base* base_;
    std::vector<std::unique_ptr<Link>> links_;
    std::list<std::unique_ptr<Stream>> streams_;
    std::vector<Cut> cuts_;
};

}  // namespace walkford::transport
