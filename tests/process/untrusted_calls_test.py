"""Guards against clients whose calls, without a job that is accepted for each, fill a daemon's log or memory, or cut it off
from the leader."""

import sys

from untrusted_leader import STEP, Shape, abandoned_while_paused, beside_takeovers, job, run

LARGE_JOB = job([{**STEP, "image": "x" * 800}] * 250)
SHAPES = [
    Shape("submissions without steps", "POST", job([]), accepts_jobs=False),
    Shape("submissions with too long a spec", "POST", {**job([STEP]), "spec": "x" * 5000}, accepts_jobs=False),
    Shape("submissions of one job", "POST", job([STEP]), accepts_jobs=False),
    Shape("queries of one job", "GET", accepts_jobs=False),
    Shape("cancels of unknown jobs", "DELETE", accepts_jobs=False),
    Shape("cancels of one unknown job", "DELETE", accepts_jobs=False),
    Shape("submissions beside takeovers", "POST", job([STEP] * 60), beside_takeovers),
    Shape("submissions that are abandoned while the leader is paused", "POST", LARGE_JOB, abandoned_while_paused),
]

run(SHAPES, sys.argv[1:])
