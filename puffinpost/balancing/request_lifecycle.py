"""The lifecycle of a request: queueing, attempts, deadline and exactly one final answer.

`Balancer` passes the events of clients, attempts, health checks and timers here. Endpoints are selected by
the endpoint selector and evaluated by the outlier detector.
"""

from __future__ import annotations

from puffinpost.balancing.actions import CancelAttempt, Fail, Reject, StartAttempt, StartTimer
from puffinpost.balancing.concurrency_limiter import ConcurrencyLimiter
from puffinpost.balancing.endpoint_selector import EndpointSelector
from puffinpost.balancing.events import (
    NO_EFFECT_RESULTS,
    AttemptEnded,
    AttemptEstablished,
    AttemptResult,
    ClientDisconnected,
    ConnectionAdopted,
    HealthCheckCompleted,
    RequestReceived,
)
from puffinpost.balancing.health_checks import (
    CREDIT_PER_REQUEST,
    REPORT_WAIT_OBJECTIVES,
    HealthCheckScheduler,
)
from puffinpost.balancing.model import EndpointState, PendingRequest, Placement
from puffinpost.balancing.outlier_detection import UNREACHABLE_RESULTS, OutlierDetector
from puffinpost.balancing.settings import Idempotency, RequestId

MAX_BACKOFF_DOUBLINGS = 4  # limits the doublings of a queued request's backoff
MAX_SAMPLES = 4  # samples of candidates before a request backs off: limits the cost if the fleet is full
ATTEMPT_TIMEOUT_OBJECTIVES = 1.0  # timeout of a first attempt that may be retried, in latency objectives
OVERLOAD_RESULTS = (AttemptResult.ERROR, AttemptResult.TIMEOUT, AttemptResult.REJECTED)
# Results after which another endpoint is tried without backoff, as long as candidates are left.
IMMEDIATE_RETRY_RESULTS = (AttemptResult.CONNECT_FAILED, AttemptResult.SUPERSEDED)


class RequestLifecycle:
    """All requests of one balancer. Events about unknown or ended requests change nothing."""

    def __init__(
        self,
        endpoint_selector: EndpointSelector,
        outlier_detector: OutlierDetector,
        health_checks: HealthCheckScheduler,
        concurrency_limiter: ConcurrencyLimiter,
    ) -> None:
        self.state, self.accounting = endpoint_selector.state, endpoint_selector.accounting
        self.capacity, self.slow_start = endpoint_selector.capacity, endpoint_selector.slow_start
        self.endpoint_selector = endpoint_selector
        self.outlier_detector = outlier_detector
        self.health_checks = health_checks
        self.concurrency_limiter = concurrency_limiter
        self.queue: dict[RequestId, PendingRequest] = {}  # requests without an attempt in flight

    def on_request(self, event: RequestReceived) -> None:
        """Registers a client's request for a connection, and places or queues it."""
        state = self.state
        if self._is_duplicate_or_invalid(event):
            return
        request = PendingRequest(event, state.settings.classes[event.request_class])
        state.requests[event.request] = request
        if request.hinted_load is not None:
            self.accounting.record_hinted_load(request.hinted_load)
        self.health_checks.add_credit(CREDIT_PER_REQUEST)
        # The timer expires one tick early, so that the answer is in time.
        until_deadline_ns = max(0, request.deadline_ns - state.tick_ns - state.now_ns)
        state.actions.append(StartTimer(until_deadline_ns, event.request + 1))
        self._place(request)

    def on_connection_adopted(self, event: ConnectionAdopted) -> None:
        """Registers a connection that was open before this balancer started."""
        state, received = self.state, event.request
        if self._is_duplicate_or_invalid(received):
            return
        endpoint = state.endpoints.get(event.endpoint)
        request = PendingRequest(received, state.settings.classes[received.request_class])
        request.attempts = 1
        request.is_in_flight = True
        request.is_established = True
        state.requests[received.request] = request
        if endpoint is not None:
            self.accounting.add(request, endpoint, state.now_ns)

    def _is_duplicate_or_invalid(self, event: RequestReceived) -> bool:
        return event.request in self.state.requests or event.request_class >= len(self.state.settings.classes)

    def _place(self, request: PendingRequest) -> None:
        """Starts the request's next attempt, or queues the request if no endpoint can take it now."""
        self.queue[request.request_id] = request
        if self.concurrency_limiter.is_full():
            return
        candidates = self.endpoint_selector.sample(request) if request.rejected_samples < MAX_SAMPLES else []
        if not candidates:
            # All samples were tried or no endpoint is allowed: start over after a backoff.
            request.rejected_samples = 0
            request.candidates_checked = False
            self._back_off(request)
            return
        if not request.candidates_checked and self.health_checks.check_candidates(request, candidates):
            return
        endpoint = self.endpoint_selector.choose(request, candidates)
        if endpoint is None and self.capacity.is_shed_first(request.tenant):
            self._send_final_answer(request)
            return
        request.candidates_checked = False
        if endpoint is None:
            request.rejected_samples += 1
            request.backoff_until_ns = self.state.now_ns
            return
        del self.queue[request.request_id]
        request.rejected_samples = 0
        self._start_attempt(request, endpoint)

    def _back_off(self, request: PendingRequest) -> None:
        request.backoff_count += 1
        doublings = min(request.backoff_count, MAX_BACKOFF_DOUBLINGS)
        objectives = REPORT_WAIT_OBJECTIVES * 2.0**doublings * self.state.random.random()
        backoff_ns = int(objectives * request.request_class.latency_objective_ns)
        request.backoff_until_ns = self.state.now_ns + backoff_ns

    def _start_attempt(self, request: PendingRequest, endpoint: EndpointState) -> None:
        state = self.state
        timeout_ns = self._attempt_timeout_ns(request)
        request.attempts += 1
        request.is_in_flight = True
        self.concurrency_limiter.pending_attempts += 1
        request.attempted_endpoints.append(endpoint.id)
        self.slow_start.on_attempt_started(endpoint)
        self.accounting.add(request, endpoint, state.now_ns)
        endpoint.placements.append(Placement(state.now_ns, request.estimated_load))
        state.actions.append(StartAttempt(request.request_id, endpoint.id, timeout_ns))

    def _attempt_timeout_ns(self, request: PendingRequest) -> int:
        """The time until the deadline, or less if another attempt is possible.

        If the endpoint has stalled, this leaves time to try another one. The timeout doubles with each
        attempt: if all endpoints are slow, cancelling work and requesting it again adds to the load.
        """
        request_class = request.request_class
        timeout_ns = request.deadline_ns - self.state.now_ns
        can_retry = request.attempts + 1 < self.state.settings.max_attempts
        if request_class.idempotency is Idempotency.IDEMPOTENT and can_retry:
            objectives = ATTEMPT_TIMEOUT_OBJECTIVES * 2.0**request.attempts
            timeout_ns = min(timeout_ns, int(request_class.latency_objective_ns * objectives))
        return max(1, timeout_ns)

    def on_established(self, event: AttemptEstablished) -> None:
        """Records that an attempt's connection is established."""
        endpoint = self.state.endpoints.get(event.endpoint)
        if endpoint is not None:
            self.outlier_detector.on_success(endpoint)
            if endpoint.id in self.state.readmitted:
                self.state.readmitted.remove(endpoint.id)
        request = self._request_of_attempt(event)
        if request is None or request.is_established:
            return
        request.is_established = True
        self.concurrency_limiter.pending_attempts -= 1
        self.concurrency_limiter.on_success()
        if self.queue:
            self.place_queued()

    def _request_of_attempt(self, event: AttemptEstablished | AttemptEnded) -> PendingRequest | None:
        """The request of an event, if the event is about its latest attempt and that is in flight."""
        request = self.state.requests.get(event.request)
        if request is None or not request.is_in_flight or event.attempt != request.attempts - 1:
            return None
        return request

    def on_attempt_ended(self, event: AttemptEnded) -> None:
        """An attempt or a connection has ended: retries the request, answers it, or removes it."""
        endpoint = self.state.endpoints.get(event.endpoint)
        if endpoint is not None:
            if event.load_report:
                self._record_report(endpoint, event.load_report)
            if event.result in UNREACHABLE_RESULTS:
                self.outlier_detector.on_failure(endpoint)
        request = self._request_of_attempt(event)
        if request is None:
            return
        if not request.is_established:
            self._on_setup_ended(request, event.result)
        if event.result not in NO_EFFECT_RESULTS and request.first_uncertain_endpoint is None:
            request.first_uncertain_endpoint = request.endpoint
            request.first_uncertain_attempt_ns = request.placed_ns
        self.state.remove_request(request)
        request.is_in_flight = False
        if event.request_finished or request.is_finished:
            self._forget(request)
        elif not self._can_retry(request):
            self._send_final_answer(request)
        elif event.result not in IMMEDIATE_RETRY_RESULTS and request.attempts > 1:
            self._back_off(request)
            self.queue[request.request_id] = request
        else:
            self._place(request)

    def _record_report(self, endpoint: EndpointState, report: tuple[float, ...]) -> None:
        if self.capacity.record_report(endpoint, report):
            self.outlier_detector.migration.rebalance(endpoint)

    def _on_setup_ended(self, request: PendingRequest, result: AttemptResult) -> None:
        """Accounts for an attempt that ended before its connection was established."""
        self.concurrency_limiter.pending_attempts -= 1
        if result in OVERLOAD_RESULTS:
            self.concurrency_limiter.on_failure()
        endpoint = request.endpoint
        if endpoint is not None and result in NO_EFFECT_RESULTS:
            unused_placement = Placement(request.placed_ns, request.estimated_load)
            endpoint.placements = [item for item in endpoint.placements if item != unused_placement]

    def _can_retry(self, request: PendingRequest) -> bool:
        """Whether attempts and time are left and the class allows another attempt."""
        state = self.state
        if request.attempts >= state.settings.max_attempts:
            return False
        if state.now_ns + state.tick_ns >= request.deadline_ns:
            return False
        has_uncertain_attempt = request.first_uncertain_endpoint is not None
        return not (has_uncertain_attempt and request.request_class.idempotency is Idempotency.NOT_IDEMPOTENT)

    def on_health_check(self, event: HealthCheckCompleted) -> None:
        """Records the result of a health check, and places the requests that waited for it."""
        endpoint = self.state.endpoints.get(event.endpoint)
        if endpoint is None:
            return
        endpoint.health_check_pending = False
        if event.result is AttemptResult.SERVED:
            self.outlier_detector.on_success(endpoint)
            self._record_report(endpoint, event.load_report)
        self.outlier_detector.on_health_check(endpoint, event)
        waiting_requests, endpoint.waiting_requests = endpoint.waiting_requests, []
        for request in waiting_requests:
            request.pending_health_checks -= 1
            if request.pending_health_checks == 0 and request.request_id in self.queue:
                request.backoff_until_ns = 0
                self._place(request)

    def on_client_disconnected(self, event: ClientDisconnected) -> None:
        """Ends the request of a client that has disconnected, without a final answer."""
        request = self.state.requests.get(event.request)
        if request is not None:
            self._finish(request)

    def on_deadline(self, request_id: RequestId) -> None:
        """Answers a request whose deadline is near, or gives its attempt the time that is left."""
        state = self.state
        request = state.requests.get(request_id)
        if request is None or request.is_finished or request.is_established:
            return
        if request.is_in_flight and state.now_ns < request.deadline_ns:
            state.actions.append(StartTimer(request.deadline_ns - state.now_ns, request_id + 1))
        else:
            self._send_final_answer(request)

    def _send_final_answer(self, request: PendingRequest) -> None:
        """Sends the final answer of an unestablished request: rejected if a retry is safe, else failed."""
        if request.is_finished:
            return
        settings, actions = self.state.settings, self.state.actions
        if request.is_in_flight and settings.cancellation_enabled:
            actions.append(CancelAttempt(request.request_id, request.attempts - 1))
        retry_after_ns = 0
        if settings.sends_retry_after:
            retry_after_ns = int(settings.max_retry_after_ns * self.state.random.uniform(0.5, 1.0))
        if request.is_safe_to_retry():
            actions.append(Reject(request.request_id, retry_after_ns))
        else:
            actions.append(Fail(request.request_id))
        self._finish(request)

    def _finish(self, request: PendingRequest) -> None:
        request.is_finished = True
        self.queue.pop(request.request_id, None)
        if not request.is_in_flight:
            self._forget(request)

    def _forget(self, request: PendingRequest) -> None:
        self.state.remove_request(request)
        self.queue.pop(request.request_id, None)
        self.state.requests.pop(request.request_id, None)

    def place_queued(self) -> None:
        """Places the queued requests whose backoff has ended, as far as the concurrency limit allows."""
        for request in list(self.queue.values()):
            if self.concurrency_limiter.is_full():
                break
            if self.state.now_ns >= request.backoff_until_ns:
                self._place(request)
