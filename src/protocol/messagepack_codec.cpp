#include "protocol/messagepack_codec.hpp"

#include <msgpack.hpp>

namespace walkford::protocol {

namespace {

bool convert(const msgpack::object& o, Json& out) {
    switch (o.type) {
        case msgpack::type::NIL:
            out = nullptr;
            return true;
        case msgpack::type::BOOLEAN:
            out = o.via.boolean;
            return true;
        case msgpack::type::POSITIVE_INTEGER:
            out = o.via.u64;
            return true;
        case msgpack::type::NEGATIVE_INTEGER:
            out = o.via.i64;
            return true;
        case msgpack::type::FLOAT32:
        case msgpack::type::FLOAT64:
            out = o.via.f64;
            return true;
        case msgpack::type::STR:
            out = std::string(o.via.str.ptr, o.via.str.size);
            return true;
        case msgpack::type::ARRAY: {
            out = Json::array();
            auto& list = out.get_ref<Json::array_t&>();
            list.reserve(o.via.array.size);
            for (std::uint32_t i = 0; i < o.via.array.size; ++i) {
                list.emplace_back();
                if (!convert(o.via.array.ptr[i], list.back())) {
                    return false;
                }
            }
            return true;
        }
        case msgpack::type::MAP: {
            out = Json::object();
            for (std::uint32_t i = 0; i < o.via.map.size; ++i) {
                const auto& kv = o.via.map.ptr[i];
                if (kv.key.type != msgpack::type::STR) {
                    return false;
                }
                if (!convert(kv.val, out[std::string(kv.key.via.str.ptr, kv.key.via.str.size)])) {
                    return false;
                }
            }
            return true;
        }
        default:
            return false;  // binary and extensions are not part of the protocol
    }
}

void write(msgpack::packer<msgpack::sbuffer>& p, const Json& v) {
    switch (v.type()) {
        case Json::value_t::object:
            p.pack_map(static_cast<std::uint32_t>(v.size()));
            for (const auto& [key, item] : v.items()) {
                p.pack(key);
                write(p, item);
            }
            break;
        case Json::value_t::array:
            p.pack_array(static_cast<std::uint32_t>(v.size()));
            for (const Json& item : v) {
                write(p, item);
            }
            break;
        case Json::value_t::string:
            p.pack(v.get_ref<const std::string&>());
            break;
        case Json::value_t::boolean:
            p.pack(v.get<bool>());
            break;
        case Json::value_t::number_integer:
            p.pack(v.get<std::int64_t>());
            break;
        case Json::value_t::number_unsigned:
            p.pack(v.get<std::uint64_t>());
            break;
        case Json::value_t::number_float:
            p.pack(v.get<double>());
            break;
        default:
            p.pack_nil();
            break;
    }
}

}  // namespace

std::optional<Json> unpack(std::string_view body, const PackLimits& limits) {
    if (body.empty() || body.size() > limits.bytes) {
        return std::nullopt;
    }
    try {
        // A header may claim 4 GiB of items in five bytes: never more than there are bytes.
        std::size_t items = std::min(limits.items, body.size());
        msgpack::unpack_limit limit(items, items, body.size(), body.size(), body.size(),
                                    limits.depth);
        std::size_t offset = 0;
        msgpack::object_handle handle =
            msgpack::unpack(body.data(), body.size(), offset, nullptr, nullptr, limit);
        if (offset != body.size()) {
            return std::nullopt;
        }
        Json out;
        if (!convert(handle.get(), out)) {
            return std::nullopt;
        }
        return out;
    } catch (const std::exception&) {
        return std::nullopt;
    }
}

std::string pack(const Json& value) {
    msgpack::sbuffer buffer;
    msgpack::packer<msgpack::sbuffer> packer(buffer);
    write(packer, value);
    return {buffer.data(), buffer.size()};
}

}  // namespace walkford::protocol
