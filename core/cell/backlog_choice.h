#pragma once

#include "core/cell/cell_state.h"
#include "core/cell/pending_queue.h"

namespace wigeonkeel
{

/// The task to place now, given the one whose turn it is: of the batch tasks of the same urgency that wait just behind
/// it, the one that leaves the least unused on the worker that its policy names. A task is passed at most
/// PendingQueue::passLimit times in this way. Valid until the queue changes.
const TaskSpec &chooseFromBacklog(CellState &cell, const PendingQueue &queue, const TaskSpec &next, const Now &now);

} // namespace wigeonkeel
