#pragma once

#include <catkinwell/core/Clock.h>
#include <catkinwell/core/Identifiers.h>
#include <catkinwell/store/StoreTypes.h>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace Catkinwell {

// The data centres that operators evacuate, as the store states them. Nothing new is sent to their endpoints. What is
// known stays in force while the store cannot be read or has been restored, until its keys have been read again. One
// entry for each key; the store bounds their number. Pure; not thread safe.
class EvacuatedDataCentres {
public:
    struct Evacuation {
        // The store's version at which the key was last seen.
        StoreVersion version = 0;
        // Whether it was checked that an endpoint names the data centre.
        bool isChecked = false;
    };

    // Applies a change of the data centre's key, as the mirror of the keys reports it. Returns whether the data centre
    // is under evacuation now and was not before, or the other way round.
    bool apply(const DataCentreId&, const StoreEntry&, MonotonicTime now);

    // Replaces the whole set, which has one version. Returns the data centres of which the evacuation began or ended.
    std::vector<DataCentreId> replaceAll(const std::set<DataCentreId>&, StoreVersion, MonotonicTime now);

    bool contains(const DataCentreId& dataCentre) const { return m_evacuations.contains(dataCentre); }
    bool isEmpty() const { return m_evacuations.empty(); }
    // When this host saw the last evacuation of the data centre end; nullopt if it saw none end, or one lasts. The
    // endpoints there may be cold since then.
    std::optional<MonotonicTime> endedAt(const DataCentreId&) const;
    const std::map<DataCentreId, Evacuation>& evacuations() const { return m_evacuations; }
    // Returns the data centres of which this function has not been called before in the present evacuation.
    std::vector<DataCentreId> takeUnchecked();

private:
    std::map<DataCentreId, Evacuation> m_evacuations;
    std::map<DataCentreId, MonotonicTime> m_endedAt;
};

} // namespace Catkinwell
