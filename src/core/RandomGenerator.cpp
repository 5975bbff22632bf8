#include <catkinwell/core/RandomGenerator.h>

namespace Catkinwell {

std::uint64_t RandomGenerator::next()
{
    m_state += 0x9e3779b97f4a7c15ULL;
    std::uint64_t mixed = m_state;
    mixed = (mixed ^ (mixed >> 30)) * 0xbf58476d1ce4e5b9ULL;
    mixed = (mixed ^ (mixed >> 27)) * 0x94d049bb133111ebULL;
    return mixed ^ (mixed >> 31);
}

double RandomGenerator::unit() { return static_cast<double>(next() >> 11) / static_cast<double>(1ULL << 53); }

} // namespace Catkinwell
