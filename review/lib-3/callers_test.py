"""Callers of a case: they submit, and ask for what was accepted."""

import json
import threading
import time

from deployment_test import call

ROUTE_HOST = 'plans.example'
MAX_ATTEMPTS = 5


def route(name, prefix, **changes):
    """Make a route as in a desired state of the site."""
    return {
        'Name': name,
        'Host': ROUTE_HOST,
        'Prefix': prefix,
        'Kind': 'non_idempotent',
        'TimeoutMs': 3000,
        'TargetLatencyMs': 3000,
        'Priority': 1,
        'Service': 'ballast',
        'MaxAttempts': 3,
        'Stretch': 4.0,
        'Public': False,
        **changes,
    }


def tenant(name, key, **changes):
    """Make a tenant as in a desired state of the site."""
    return {
        'Name': name,
        'ApiKeys': [key],
        'Weight': 13,
        'Maximum': {'Cpu': 433_790, 'MemMb': 1_062_556, 'Gpu': 0},
        **changes,
    }


def desired_state(routes, tenants):
    """Make a desired state without its version."""
    return {
        'Routes': routes,
        'Services': [
            {
                'Name': 'ballast',
                'HealthPath': '/health',
                'MaxConns': 64,
                'Protocol': 'h1',
                'Tls': False,
                'EnforcesCapacity': False,
                'Standby': False,
            }
        ],
        'Limits': {
            'MaxHeaderBytes': 16_384,
            'MaxBodyBytes': 262_144,
            'HeaderTimeoutMs': 3000,
            'IdleTimeoutMs': 15_000,
        },
        'Tenants': tenants,
    }


def spec(**words):
    """Make the text that the stand-in's executors read."""
    return json.dumps(words)


class Caller:
    """Calls the instances in turn with the key of one tenant."""

    def __init__(self, deployment, *, key, prefix):
        self.deployment = deployment
        self.accepted = {}
        self._prefix = prefix
        self._headers = {'Host': ROUTE_HOST}
        if key:
            self._headers['Authorization'] = f'Bearer {key}'
        self._turn = 0
        self._lock = threading.Lock()

    def ask(self, method, job, body=None, *, instance=None, limit_s=3):
        """Make one call at an instance that listens."""
        instances = self.deployment.instances
        with self._lock:
            self._turn += 1
            chosen = instance or instances[self._turn % len(instances)]
        status, answer = call(
            chosen.front,
            method,
            self._prefix + job,
            body,
            headers=self._headers,
            limit_s=limit_s,
        )
        self.deployment.record.note(
            method, self._prefix + job, 'at', chosen.name, status, answer or ''
        )
        return status, answer

    def submit(self, job, body):
        """Submit until there is an answer; True when it is accepted."""
        for _ in range(MAX_ATTEMPTS):
            status, _answer = self.ask('POST', job, body)
            if status == 200:
                self.accepted[job] = time.monotonic()
                return True
            if status in {429, 503}:
                return False
            time.sleep(0.2)
        return False

    def state(self, job):
        """Ask for the state of a submission; None without an answer."""
        status, answer = self.ask('GET', job)
        if status == 200:
            return answer['State']
        return 'gone' if status == 410 else None
