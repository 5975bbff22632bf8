#pragma once

#include "FieldTable.h"
#include <catkinwell/core/WallTimeText.h>

namespace Catkinwell {

// Whether the text has the format. Thread safe.
bool hasForm(std::string_view text, TextForm);

// Describes the format for error messages. Thread safe.
std::string_view describeForm(TextForm);

} // namespace Catkinwell
