#pragma once

#include <catkinwell/store/StoreTypes.h>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Catkinwell {

// Allocations are counted in units of 25 parts per million, so that with 400 hosts an average
// allocation takes one or two bytes in the stored value.
constexpr std::uint32_t ppmPerUnit = 25;
constexpr std::uint32_t totalUnits = 1'000'000 / ppmPerUnit;

// One holder's allocation of an account. The lease identifies the holder: it belongs to one incarnation of one host.
struct Allocation {
    LeaseId lease;
    std::uint32_t floating = 0;
    std::uint32_t standing = 0;
    // Units that cover the holder's demand, encoded by encodeDemand().
    std::uint8_t demandCode = 0;

    friend bool operator==(const Allocation&, const Allocation&) = default;
};

// The value of the store key shares/<account>: every holder's allocation.
struct AllocationTable {
    std::vector<Allocation> allocations;

    const Allocation* find(const LeaseId&) const;
    std::uint32_t floatingSum() const;
    std::uint32_t standingSum() const;
    friend bool operator==(const AllocationTable&, const AllocationTable&) = default;
};

// Logarithmic encoding of a demand in steps of 5%, up to six times an account's rate.
std::uint8_t encodeDemand(double units);
double decodeDemand(std::uint8_t code);

// Encodes the table as CBOR with one array per field. A lease that is a lower-case UUID is stored as 16 bytes.
std::string encodeAllocationTable(const AllocationTable&);

// Returns nothing if the value is malformed or its allocations exceed the total. An empty value is an empty table.
std::optional<AllocationTable> decodeAllocationTable(std::string_view);

} // namespace Catkinwell
