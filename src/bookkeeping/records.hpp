// The records that stand in the state service, and their keys. Names, not indices, are stored: an
// index means something in one process only. A record's fields are named in its codec and nowhere
// else; they never change, as another version may read them.
#pragma once

#include "bookkeeping/controller_records.hpp"
#include "bookkeeping/finished_job_record.hpp"
#include "bookkeeping/job_record.hpp"
#include "bookkeeping/json.hpp"
#include "bookkeeping/machine_types_record.hpp"
#include "bookkeeping/placement_record.hpp"
#include "bookkeeping/stored_keys.hpp"
#include "bookkeeping/types.hpp"
