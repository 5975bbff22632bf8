#include "AllocationTable.h"

#include <algorithm>
#include <catkinwell/core/BoundedJson.h>
#include <cmath>
#include <nlohmann/json.hpp>
#include <numeric>

namespace Catkinwell {

namespace {

    using Json = nlohmann::json;

    constexpr double demandStep = 1.05;
    constexpr std::size_t uuidLength = 36;
    constexpr std::size_t maxLeaseLength = 64;
    constexpr std::size_t maxHolders = 4096;
    constexpr std::string_view hexDigits = "0123456789abcdef";

    bool isDashPosition(std::size_t index) { return index == 8 || index == 13 || index == 18 || index == 23; }

    // Returns the 16 bytes of a canonical lower-case UUID, or nothing if the lease is not one.
    std::optional<std::vector<std::uint8_t>> packUuid(const LeaseId& lease)
    {
        if (lease.size() != uuidLength)
            return std::nullopt;
        std::vector<std::uint8_t> bytes;
        bool high = true;
        for (std::size_t i = 0; i < uuidLength; ++i) {
            if (isDashPosition(i)) {
                if (lease[i] != '-')
                    return std::nullopt;
                continue;
            }
            const auto digit = hexDigits.find(lease[i]);
            if (digit == std::string_view::npos)
                return std::nullopt;
            if (high)
                bytes.push_back(static_cast<std::uint8_t>(digit << 4));
            else
                bytes.back() |= static_cast<std::uint8_t>(digit);
            high = !high;
        }
        return bytes;
    }

    std::string unpackUuid(const std::vector<std::uint8_t>& bytes)
    {
        std::string lease;
        for (const std::uint8_t byte : bytes) {
            if (isDashPosition(lease.size()))
                lease += '-';
            lease += hexDigits[byte >> 4];
            lease += hexDigits[byte & 15];
        }
        return lease;
    }

    std::optional<LeaseId> readLease(const Json& item)
    {
        if (item.is_binary() && item.get_binary().size() == 16)
            return unpackUuid(item.get_binary());
        if (item.is_string() && item.get_ref<const std::string&>().size() <= maxLeaseLength)
            return item.get<std::string>();
        return std::nullopt;
    }

    bool areCounts(const Json& array, std::size_t size, std::uint64_t largest)
    {
        return array.is_array() && array.size() == size
            && std::all_of(array.begin(), array.end(),
                [&](const Json& item) { return item.is_number_unsigned() && item.get<std::uint64_t>() <= largest; });
    }

} // namespace

const Allocation* AllocationTable::find(const LeaseId& lease) const
{
    const auto found = std::find_if(allocations.begin(), allocations.end(),
        [&](const Allocation& allocation) { return allocation.lease == lease; });
    return found == allocations.end() ? nullptr : &*found;
}

std::uint32_t AllocationTable::floatingSum() const
{
    return std::accumulate(allocations.begin(), allocations.end(), std::uint32_t { 0 },
        [](std::uint32_t sum, const Allocation& allocation) { return sum + allocation.floating; });
}

std::uint32_t AllocationTable::standingSum() const
{
    return std::accumulate(allocations.begin(), allocations.end(), std::uint32_t { 0 },
        [](std::uint32_t sum, const Allocation& allocation) { return sum + allocation.standing; });
}

std::uint8_t encodeDemand(double units)
{
    if (units < 1)
        return 0;
    return static_cast<std::uint8_t>(std::min(255.0, 1 + std::ceil(std::log(units) / std::log(demandStep))));
}

double decodeDemand(std::uint8_t code) { return code == 0 ? 0 : std::pow(demandStep, code - 1); }

std::string encodeAllocationTable(const AllocationTable& table)
{
    Json leases = Json::array();
    Json floating = Json::array();
    Json standing = Json::array();
    Json demandCodes = Json::array();
    for (const Allocation& allocation : table.allocations) {
        if (auto packed = packUuid(allocation.lease))
            leases.push_back(Json::binary(std::move(*packed)));
        else
            leases.push_back(allocation.lease);
        floating.push_back(allocation.floating);
        standing.push_back(allocation.standing);
        demandCodes.push_back(allocation.demandCode);
    }
    const auto bytes
        = Json::to_cbor(Json { { "l", leases }, { "f", floating }, { "s", standing }, { "w", demandCodes } });
    return { bytes.begin(), bytes.end() };
}

std::optional<AllocationTable> decodeAllocationTable(std::string_view value)
{
    if (value.empty())
        return AllocationTable {};
    const Json document = parseBoundedCbor(value);
    if (!document.is_object() || !document.contains("l") || !document.contains("f") || !document.contains("s")
        || !document.contains("w"))
        return std::nullopt;
    const Json& leases = document["l"];
    if (!leases.is_array() || leases.size() > maxHolders || !areCounts(document["f"], leases.size(), totalUnits)
        || !areCounts(document["s"], leases.size(), totalUnits) || !areCounts(document["w"], leases.size(), 255))
        return std::nullopt;
    AllocationTable table;
    table.allocations.reserve(leases.size());
    for (std::size_t i = 0; i < leases.size(); ++i) {
        const auto lease = readLease(leases[i]);
        if (!lease)
            return std::nullopt;
        table.allocations.push_back({ *lease, document["f"][i].get<std::uint32_t>(),
            document["s"][i].get<std::uint32_t>(), document["w"][i].get<std::uint8_t>() });
    }
    if (table.floatingSum() + table.standingSum() > totalUnits)
        return std::nullopt;
    return table;
}

} // namespace Catkinwell
