#include "yuccaspan/store_http.hpp"

#include <boost/asio/ip/address.hpp>

#include <charconv>

namespace yuccaspan {

namespace impl {

namespace {

Error notAnAddress(std::string_view text)
{
    return {ErrorCode::InvalidArgument,
            "expected http://<IP address>:<port>, found \"" + std::string(text) + "\"",
            {}};
}

} // namespace

} // namespace impl

Result<HostPort> parseHostPort(std::string_view text)
{
    constexpr std::string_view scheme = "http://";
    std::string_view rest = text;
    if (rest.starts_with(scheme))
        rest.remove_prefix(scheme.size());
    if (rest.ends_with('/'))
        rest.remove_suffix(1);
    const std::size_t colon = rest.rfind(':');
    if (colon == std::string_view::npos)
        return impl::notAnAddress(text);
    std::string_view host = rest.substr(0, colon);
    if (host.starts_with('[') && host.ends_with(']'))
        host = host.substr(1, host.size() - 2);
    HostPort parsed{std::string(host), 0};
    boost::system::error_code failure;
    boost::asio::ip::make_address(parsed.address, failure);
    const std::string_view port = rest.substr(colon + 1);
    const char *end = port.data() + port.size();
    const auto [stop, wrong] = std::from_chars(port.data(), end, parsed.port);
    if (failure || wrong != std::errc() || stop != end || parsed.port == 0)
        return impl::notAnAddress(text);
    return parsed;
}

} // namespace yuccaspan
