#include <catkinwell/core/BoundedJson.h>

#include <nlohmann/json.hpp>

namespace Catkinwell {

namespace {

    using Json = nlohmann::json;

    // Ends parsing at too deep a level, before a document is built.
    class DepthCheck final : public nlohmann::json_sax<Json> {
    public:
        explicit DepthCheck(std::size_t maximumDepth)
            : m_maximumDepth(maximumDepth)
        {
        }
        bool null() override { return true; }
        bool boolean(bool) override { return true; }
        bool number_integer(number_integer_t) override { return true; }
        bool number_unsigned(number_unsigned_t) override { return true; }
        bool number_float(number_float_t, const string_t&) override { return true; }
        bool string(string_t&) override { return true; }
        bool binary(binary_t&) override { return true; }
        bool start_object(std::size_t) override { return ++m_depth <= m_maximumDepth; }
        bool key(string_t&) override { return true; }
        bool end_object() override { return m_depth-- > 0; }
        bool start_array(std::size_t) override { return ++m_depth <= m_maximumDepth; }
        bool end_array() override { return m_depth-- > 0; }
        bool parse_error(std::size_t, const std::string&, const nlohmann::detail::exception&) override { return false; }

    private:
        std::size_t m_maximumDepth;
        std::size_t m_depth = 0;
    };

} // namespace

nlohmann::json parseBoundedJson(std::string_view text)
{
    bool isTooDeep = false;
    Json document = Json::parse(
        text,
        [&isTooDeep](int depth, Json::parse_event_t event, const Json&) {
            const bool isStart
                = event == Json::parse_event_t::object_start || event == Json::parse_event_t::array_start;
            isTooDeep = isTooDeep || (isStart && depth >= static_cast<int>(maximumJsonDepth));
            return !isTooDeep;
        },
        false);
    return isTooDeep ? Json(Json::value_t::discarded) : document;
}

nlohmann::json parseBoundedCbor(std::string_view bytes, std::size_t maximumDepth)
{
    DepthCheck check(maximumDepth);
    if (!Json::sax_parse(bytes, &check, Json::input_format_t::cbor))
        return Json(Json::value_t::discarded);
    return Json::from_cbor(bytes, true, false);
}

} // namespace Catkinwell
