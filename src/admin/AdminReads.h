#pragma once

#include <admin/AdminCall.h>
#include <catkinwell/admin/AdminApi.h>

namespace Catkinwell {

// Answers a GET of a resource. Precondition: AdminApi knows the resource.
AdminAnswer answerRead(const AdminCall&, const AdminDependencies&, const AuditLog&);

} // namespace Catkinwell
