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
struct Piece {
    LeaseId lease;
    std::uint32_t floating = 0;
    std::uint32_t standing = 0;
    // Units that cover the holder's demand, encoded by wantCode().
    std::uint8_t want = 0;

    friend bool operator==(const Piece&, const Piece&) = default;
};

// The value of the store key shares/<account>: every holder's allocation.
struct PieceTable {
    std::vector<Piece> pieces;

    const Piece* find(const LeaseId&) const;
    std::uint32_t floatingSum() const;
    std::uint32_t standingSum() const;
    friend bool operator==(const PieceTable&, const PieceTable&) = default;
};

// Logarithmic encoding of a demand in steps of 5%, up to six times an account's rate.
std::uint8_t wantCode(double units);
double wantUnits(std::uint8_t code);

// Encodes the table as CBOR with one array per field. A lease that is a lower-case UUID is stored as 16 bytes.
std::string encodePieceTable(const PieceTable&);

// Returns nothing if the value is malformed or its allocations exceed the total. An empty value is an empty table.
std::optional<PieceTable> decodePieceTable(std::string_view);

} // namespace Catkinwell
