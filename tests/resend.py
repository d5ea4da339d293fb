"""Callers that send each lodgement again, elsewhere, until it is told to have run."""

import threading
import time

ATTEMPTS = 25
PAUSE_S = 0.2


class Resenders:
    """Threads that share out lodgements; every answer is kept, in order."""

    def __init__(
        self,
        deployment,
        service,
        entry_hosts,
        lodgements,
        callers=4,
        prefix="lodgement",
    ):
        self.answers_by_id = {f"{prefix}-{n}": [] for n in range(lodgements)}
        self._deployment = deployment
        self._service = service
        self._entry_hosts = entry_hosts
        ids = list(self.answers_by_id)
        self._threads = [
            threading.Thread(target=self._run, args=(ids[n::callers],))
            for n in range(callers)
        ]
        for thread in self._threads:
            thread.start()

    def told_ran(self):
        """Return the lodgements that were told to have run."""
        return [
            key
            for key, answers in list(self.answers_by_id.items())
            if answers and answers[-1].outcome == "ran"
        ]

    def join(self):
        """Wait until every lodgement has run or was sent often enough."""
        for thread in self._threads:
            thread.join()

    def violations(self, runs_by_id):
        """Return every broken promise, as text."""
        found = []
        for key, answers in self.answers_by_id.items():
            outcomes = {answer.outcome for answer in answers}
            runs = runs_by_id[key]
            if runs > 1:
                found.append(f"{key}: doubled, ran {runs} times")
            if "ran" in outcomes and not runs:
                found.append(f"{key}: told ran, lost")
        return found

    def _run(self, keys):
        for key in keys:
            for attempt in range(ATTEMPTS):
                answer = self._send(key, attempt)
                self.answers_by_id[key].append(answer)
                if answer.outcome == "ran":
                    break
                time.sleep(PAUSE_S)

    def _send(self, key, attempt):
        host = self._entry_hosts[(len(key) + attempt) % len(self._entry_hosts)]
        headers = {"request-id": key, "idempotency-key": key}
        path = f"/{self._service}/lodgements"
        return self._deployment.request(host, "POST", path, headers, key)
