#include "protocol/messagepack_codec.hpp"

#include <msgpack.hpp>

#include "protocol/utf8.hpp"

namespace walkford::protocol {

namespace {

// Returns nothing if the text is not UTF-8 and is to be rejected.
std::optional<std::string> convert_text(const msgpack::object& object, InvalidText invalid_text) {
    std::string text(object.via.str.ptr, object.via.str.size);
    if (is_valid_utf8(text)) {
        return text;
    }
    if (invalid_text == InvalidText::reject) {
        return std::nullopt;
    }
    return replace_invalid_utf8(text);
}

// Returns false for text that is to be rejected, and for types that the protocols do not use:
// binary data, extensions, and map keys that are not strings.
bool convert(const msgpack::object& object, InvalidText invalid_text, Json& out) {
    switch (object.type) {
        case msgpack::type::NIL:
            out = nullptr;
            return true;
        case msgpack::type::BOOLEAN:
            out = object.via.boolean;
            return true;
        case msgpack::type::POSITIVE_INTEGER:
            out = object.via.u64;
            return true;
        case msgpack::type::NEGATIVE_INTEGER:
            out = object.via.i64;
            return true;
        case msgpack::type::FLOAT32:
        case msgpack::type::FLOAT64:
            out = object.via.f64;
            return true;
        case msgpack::type::STR: {
            auto text = convert_text(object, invalid_text);
            if (!text) {
                return false;
            }
            out = std::move(*text);
            return true;
        }
        case msgpack::type::ARRAY: {
            out = Json::array();
            auto& list = out.get_ref<Json::array_t&>();
            list.reserve(object.via.array.size);
            for (std::uint32_t i = 0; i < object.via.array.size; ++i) {
                list.emplace_back();
                if (!convert(object.via.array.ptr[i], invalid_text, list.back())) {
                    return false;
                }
            }
            return true;
        }
        case msgpack::type::MAP: {
            out = Json::object();
            for (std::uint32_t i = 0; i < object.via.map.size; ++i) {
                const auto& entry = object.via.map.ptr[i];
                if (entry.key.type != msgpack::type::STR) {
                    return false;
                }
                auto key = convert_text(entry.key, invalid_text);
                if (!key || !convert(entry.val, invalid_text, out[std::move(*key)])) {
                    return false;
                }
            }
            return true;
        }
        default:
            return false;  // binary data and extensions
    }
}

void pack_value(msgpack::packer<msgpack::sbuffer>& packer, const Json& value) {
    switch (value.type()) {
        case Json::value_t::object:
            packer.pack_map(static_cast<std::uint32_t>(value.size()));
            for (const auto& [key, item] : value.items()) {
                packer.pack(key);
                pack_value(packer, item);
            }
            break;
        case Json::value_t::array:
            packer.pack_array(static_cast<std::uint32_t>(value.size()));
            for (const Json& item : value) {
                pack_value(packer, item);
            }
            break;
        case Json::value_t::string:
            packer.pack(value.get_ref<const std::string&>());
            break;
        case Json::value_t::boolean:
            packer.pack(value.get<bool>());
            break;
        case Json::value_t::number_integer:
            packer.pack(value.get<std::int64_t>());
            break;
        case Json::value_t::number_unsigned:
            packer.pack(value.get<std::uint64_t>());
            break;
        case Json::value_t::number_float:
            packer.pack(value.get<double>());
            break;
        default:
            packer.pack_nil();
            break;
    }
}

}  // namespace

std::optional<Json> unpack(std::string_view body, const UnpackLimits& limits) {
    if (body.empty() || body.size() > limits.bytes) {
        return std::nullopt;
    }
    try {
        // A five-byte header may claim 2^32 - 1 items. An item takes at least one byte, so the
        // number of items is bounded by the size of the body.
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
        if (!convert(handle.get(), limits.invalid_text, out)) {
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
    pack_value(packer, value);
    return {buffer.data(), buffer.size()};
}

}  // namespace walkford::protocol
