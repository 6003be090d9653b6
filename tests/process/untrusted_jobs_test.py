"""Guards against clients whose valid jobs drive the leader, or its successor, over its memory. 100 such clients once took a
leader to 4,542 MB in 8 s."""

import sys

from untrusted_leader import STEP, Shape, job, run

# Scheduled jobs have all occurrences overdue.
SHAPES = [
    Shape("one step of one task", "POST", job([STEP])),
    Shape("60 steps of one task", "POST", job([STEP] * 60)),
    Shape("one step of 1,000 tasks", "POST", job([{**STEP, "count": 1000}])),
    Shape("one step of 10,000 tasks", "POST", job([{**STEP, "count": 10000}])),
    Shape("250 steps of 10,000 tasks", "POST", job([{**STEP, "count": 10000}] * 250)),
    Shape("steps with long names", "POST", job([{**STEP, "image": "x" * 800}] * 250)),
    Shape("20,000 overdue occurrences", "POST", job([STEP], repeatCount=20000, firstMs=1000, intervalMs=60000)),
]

run(SHAPES, sys.argv[1:])
