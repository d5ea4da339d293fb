"""Names of the platform's tables, and keys of the head rows."""

__all__ = [
    "BUDGETS_TABLE",
    "CATALOGUE_HEAD",
    "CLAIMS_TABLE",
    "ENTRIES_TABLE",
    "FLEET_HEAD",
    "HEADS_TABLE",
    "HISTORY_TABLE",
    "HOSTS_TABLE",
    "INSTANCES_TABLE",
    "INTENTS_TABLE",
    "JOBS_TABLE",
    "LEASES_TABLE",
    "OPERATIONS_TABLE",
    "REPORTS_TABLE",
    "REQUESTS_TABLE",
    "SCHEDULING_TABLE",
    "SUSPECTS_TABLE",
    "TASKS_TABLE",
]

BUDGETS_TABLE = "budgets"
CATALOGUE_HEAD = "catalogue"
CLAIMS_TABLE = "claims"
ENTRIES_TABLE = "entries"
FLEET_HEAD = "fleet"
HEADS_TABLE = "heads"
HISTORY_TABLE = "history"
HOSTS_TABLE = "hosts"
INSTANCES_TABLE = "instances"
INTENTS_TABLE = "intents"
JOBS_TABLE = "jobs"
LEASES_TABLE = "leases"
OPERATIONS_TABLE = "operations"
REPORTS_TABLE = "task-reports"
REQUESTS_TABLE = "job-requests"
SCHEDULING_TABLE = "scheduling"
SUSPECTS_TABLE = "host-suspects"
TASKS_TABLE = "tasks"
