// Encodes and decodes messages with msgpack. Every struct is encoded as an
// array of its fields, in the order of fields().
#include "auburnlb/protocol/messages.hpp"

#include <cstddef>
#include <tuple>
#include <type_traits>

#define MSGPACK_NO_BOOST
#include <msgpack.hpp>

namespace auburnlb
{

namespace
{

/// Increased when a message changes incompatibly; frames of other versions are
/// rejected.
constexpr std::uint32_t protocol_version = 1;

/// Upper bounds that keep a malformed frame from allocating much memory.
constexpr std::size_t max_elements = 1U << 20U;
constexpr std::size_t max_bytes = 64U << 20U;
constexpr std::size_t max_depth = 16;

} // namespace

#define AUBURNLB_FIELDS(type, ...)                                             \
    inline auto fields(type& value)                                            \
    {                                                                          \
        return std::tie(__VA_ARGS__);                                          \
    }                                                                          \
    inline auto fields(type const& value)                                      \
    {                                                                          \
        return std::tie(__VA_ARGS__);                                          \
    }

AUBURNLB_FIELDS(request_id, value.entry_, value.sequence_)
AUBURNLB_FIELDS(layer_range, value.first_, value.end_)
AUBURNLB_FIELDS(load_report, value.active_, value.queued_,
                value.kv_free_tokens_, value.step_time_us_)
AUBURNLB_FIELDS(endpoint_description, value.name_, value.address_,
                value.incarnation_, value.data_centre_, value.region_,
                value.service_, value.kind_, value.layers_, value.accelerator_,
                value.tokens_per_second_, value.kv_tokens_, value.state_,
                value.load_)
AUBURNLB_FIELDS(chain_stage, value.address_, value.incarnation_, value.layers_)
AUBURNLB_FIELDS(chain_route, value.entry_address_, value.service_,
                value.model_layers_, value.stages_, value.prompt_tokens_,
                value.max_tokens_, value.priority_, value.delivered_)
AUBURNLB_FIELDS(step_frame, value.request_, value.attempt_, value.position_,
                value.next_layer_, value.service_version_, value.inputs_,
                value.route_)
AUBURNLB_FIELDS(token_frame, value.request_, value.attempt_, value.index_,
                value.text_, value.is_end_, value.cached_tokens_, value.load_)
AUBURNLB_FIELDS(step_refusal, value.request_, value.attempt_, value.reason_,
                value.stage_address_)
AUBURNLB_FIELDS(cancel_stream, value.request_, value.attempt_)
AUBURNLB_FIELDS(hello, value.from_address_, value.role_, value.nonce_,
                value.versions_)
AUBURNLB_FIELDS(hello_reply, value.nonce_, value.from_address_, value.endpoint_,
                value.versions_)
AUBURNLB_FIELDS(endpoint_update, value.endpoint_)
AUBURNLB_FIELDS(config_request, value.from_address_, value.services_)
AUBURNLB_FIELDS(config_push, value.services_)
AUBURNLB_FIELDS(call_request, value.request_, value.reply_to_, value.service_,
                value.service_version_, value.target_incarnation_,
                value.method_, value.path_, value.headers_, value.body_,
                value.idempotency_key_, value.is_idempotent_, value.is_lookup_,
                value.timeout_ms_)
AUBURNLB_FIELDS(call_reply, value.request_, value.status_, value.headers_,
                value.body_, value.reason_, value.run_state_, value.is_replay_,
                value.load_)
AUBURNLB_FIELDS(suspicion_update, value.crashes_)
AUBURNLB_FIELDS(drain_request, value.target_incarnation_)
AUBURNLB_FIELDS(adopt_stream, value.request_, value.entry_address_)
AUBURNLB_FIELDS(stream_adopted, value.request_, value.attempt_,
                value.service_version_, value.route_, value.tokens_,
                value.is_end_)

template <class Type>
concept has_fields = requires(Type& value)
{
    fields(value);
};

} // namespace auburnlb

namespace msgpack
{
MSGPACK_API_VERSION_NAMESPACE(MSGPACK_DEFAULT_API_NS)
{
    namespace adaptor
    {

    template <class Type>
    struct pack<Type, std::enable_if_t<auburnlb::has_fields<Type>>>
    {
        template <class Stream>
        packer<Stream>& operator()(packer<Stream>& out, Type const& value) const
        {
            std::apply(
                [&out](auto const&... field)
                {
                    out.pack_array(sizeof...(field));
                    (out.pack(field), ...);
                },
                auburnlb::fields(value));
            return out;
        }
    };

    template <class Type>
    struct convert<Type, std::enable_if_t<auburnlb::has_fields<Type>>>
    {
        msgpack::object const& operator()(msgpack::object const& in,
                                          Type& value) const
        {
            if (in.type != type::ARRAY)
            {
                throw type_error();
            }
            std::apply(
                [&in](auto&... field)
                {
                    if (in.via.array.size != sizeof...(field))
                    {
                        throw type_error();
                    }
                    std::uint32_t index = 0;
                    (in.via.array.ptr[index++].convert(field), ...);
                },
                auburnlb::fields(value));
            return in;
        }
    };

    template <class Type>
    struct pack<Type, std::enable_if_t<std::is_enum_v<Type>>>
    {
        template <class Stream>
        packer<Stream>& operator()(packer<Stream>& out, Type const& value) const
        {
            return out.pack(static_cast<std::int32_t>(value));
        }
    };

    template <class Type>
    struct convert<Type, std::enable_if_t<std::is_enum_v<Type>>>
    {
        msgpack::object const& operator()(msgpack::object const& in,
                                          Type& value) const
        {
            value = static_cast<Type>(in.as<std::int32_t>());
            return in;
        }
    };

    } // namespace adaptor
}
} // namespace msgpack

namespace auburnlb
{

namespace
{

template <std::size_t Index = 0>
message convert_body(std::size_t index, msgpack::object const& body)
{
    if constexpr (Index < std::variant_size_v<message>)
    {
        if (index == Index)
        {
            return body.as<std::variant_alternative_t<Index, message>>();
        }
        return convert_body<Index + 1>(index, body);
    }
    else
    {
        throw msgpack::type_error();
    }
}

} // namespace

std::string encode(envelope const& envelope)
{
    msgpack::sbuffer buffer;
    msgpack::packer<msgpack::sbuffer> packer(buffer);
    packer.pack_array(4);
    packer.pack(protocol_version);
    packer.pack(envelope.sender_);
    packer.pack(static_cast<std::uint32_t>(envelope.body_.index()));
    std::visit([&packer](auto const& body) { packer.pack(body); },
               envelope.body_);
    return {buffer.data(), buffer.size()};
}

std::optional<envelope> decode(std::string const& bytes)
{
    try
    {
        msgpack::unpack_limit const limit(max_elements, max_elements, max_bytes,
                                          max_bytes, max_bytes, max_depth);
        msgpack::object_handle const handle = msgpack::unpack(
            bytes.data(), bytes.size(), nullptr, nullptr, limit);
        msgpack::object const& frame = handle.get();
        if (frame.type != msgpack::type::ARRAY || frame.via.array.size != 4)
        {
            return std::nullopt;
        }
        msgpack::object const* const parts = frame.via.array.ptr;
        if (parts[0].as<std::uint32_t>() != protocol_version)
        {
            return std::nullopt;
        }
        return envelope{parts[1].as<incarnation_id>(),
                        convert_body(parts[2].as<std::uint32_t>(), parts[3])};
    }
    catch (std::exception const&)
    {
        // msgpack reports malformed input only by exceptions; the caller counts
        // the frame as malformed.
        return std::nullopt;
    }
}

} // namespace auburnlb
