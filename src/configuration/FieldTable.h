#pragma once

#include <catkinwell/configuration/FleetConfiguration.h>
#include <span>
#include <string_view>
#include <variant>

namespace Catkinwell {

// The format that a string value must have.
enum class TextForm {
    // 1 to 128 of the characters A-Z a-z 0-9 . _ -
    Name,
    // Like Name, with the additional characters / : and @.
    ModelName,
    // 64 lower-case hexadecimal digits.
    Sha256,
    // A numeric IP address and a port.
    Address,
    // Starts with a slash; no spaces, no query.
    PathPrefix,
    // Up to 200 printable characters, possibly none.
    Label,
    // 10 to 1000 characters that are not all spaces.
    Reason,
    // 1 to 200 printable characters.
    Text,
    // Any JSON scalar, kept as its JSON text.
    JsonScalar,
};

struct FieldRule {
    bool required = false;
    // Range of a number, in the unit that the field's name contains.
    double minimum = 0;
    double maximum = 0;
    TextForm form = TextForm::Name;
    // Whether an exception may replace the field. Identities and references may not be replaced.
    bool overridable = false;
};

// Describes one field of a JSON object: its name, where its value is stored and which values are valid.
// The same table is used for reading, writing, detecting unknown names and applying exceptions.
template <typename Object> struct Field {
    using Member = std::variant<std::string Object::*, TokenCount Object::*, std::uint32_t Object::*,
        std::uint64_t Object::*, double Object::*, bool Object::*, Duration Object::*, AccountId Object::*,
        DataCentreId Object::*, EndpointId Object::*, ModelId Object::*, std::optional<ModelId> Object::*,
        std::optional<WallTime> Object::*, EndpointKind Object::*, FencingSupport Object::*, RouteAccess Object::*>;

    std::string_view name;
    Member member;
    FieldRule rule {};
};

// The field table of each object type. Thread safe.
std::span<const Field<ClientAccount>> fieldsOf(const ClientAccount&);
std::span<const Field<KeyGrant>> fieldsOf(const KeyGrant&);
std::span<const Field<EndpointSettings>> fieldsOf(const EndpointSettings&);
std::span<const Field<ModelSettings>> fieldsOf(const ModelSettings&);
std::span<const Field<RouteSettings>> fieldsOf(const RouteSettings&);
std::span<const Field<FleetDefaults>> fieldsOf(const FleetDefaults&);
std::span<const Field<DataCentreEvacuation>> fieldsOf(const DataCentreEvacuation&);
std::span<const Field<ConfigurationException>> fieldsOf(const ConfigurationException&);

} // namespace Catkinwell
