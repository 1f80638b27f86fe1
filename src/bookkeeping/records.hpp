// The records in the store, and their keys. Records contain names rather than indices, since an
// index is valid within one process only. A record's fields are named in its codec and nowhere
// else; the field names never change, because another version may read the record.
#pragma once

#include "bookkeeping/controller_records.hpp"
#include "bookkeeping/finished_job_record.hpp"
#include "bookkeeping/job_record.hpp"
#include "bookkeeping/json.hpp"
#include "bookkeeping/machine_types_record.hpp"
#include "bookkeeping/placement_record.hpp"
#include "bookkeeping/stored_keys.hpp"
#include "bookkeeping/types.hpp"
