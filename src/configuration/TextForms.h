#pragma once

#include "FieldTable.h"
#include <catkinwell/core/WallTimeText.h>

namespace Catkinwell {

// Whether the text has the form. Thread safe.
bool hasForm(std::string_view text, TextForm);

// Says what a text of the form looks like, for error messages. Thread safe.
std::string_view describeForm(TextForm);

} // namespace Catkinwell
