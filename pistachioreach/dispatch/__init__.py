"""Dispatch of admitted requests to endpoints, with retries and failover.

A request to a plain service is answered by one endpoint. A stream runs on a chain of
engines: each stage of the chain runs a range of the model's layers.
"""

from __future__ import annotations
