/** Prometheus metrics of a process, served on a port that callers cannot reach. */

import type { IncomingMessage, ServerResponse } from 'node:http'
import { Counter, Gauge, Histogram, Registry, collectDefaultMetrics } from 'prom-client'
import type { MembershipTables } from '../membership/types.js'
import type { Listener } from '../process/runningProcess.js'
import type { FaultLog } from '../process/containment.js'
import { HttpListener } from '../process/httpListener.js'
import { parseUrl } from '../process/requestUrl.js'
import { logOutput } from './logOutput.js'
import type { Address } from '../core/address.js'

const LATENCY_BUCKETS_SECONDS = [0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1, 2, 5, 10]

/** Sampling interval of the event loop delay. It is long because each sample wakes an idle process. */
const EVENT_LOOP_SAMPLE_INTERVAL_MS = 1_000

type FleetTables = Pick<MembershipTables, 'members'> & { readonly configuration: { readonly index: number } }

/** The metrics of a process. */
export class Metrics {
  readonly registry = new Registry()
  readonly requests = new Counter({ name: 'rhubarbseam_requests_total', help: 'Requests of callers, by service and outcome', labelNames: ['service', 'outcome'], registers: [this.registry] })
  readonly refusals = new Counter({ name: 'rhubarbseam_refusals_total', help: 'Refused requests, by reason and whether they may have run', labelNames: ['reason', 'ran'], registers: [this.registry] })
  readonly latency = new Histogram({ name: 'rhubarbseam_request_seconds', help: 'Time from the receipt of the request headers to the last byte of the response, in seconds', labelNames: ['service'], buckets: LATENCY_BUCKETS_SECONDS, registers: [this.registry] })
  readonly attempts = new Counter({ name: 'rhubarbseam_attempts_total', help: 'Attempts at backend servers, by result', labelNames: ['result'], registers: [this.registry] })
  readonly serverNotices = new Counter({ name: 'rhubarbseam_server_notices_total', help: 'Answers in which a backend server said that it leaves or asked for a pause, by kind', labelNames: ['kind'], registers: [this.registry] })
  readonly lookups = new Counter({ name: 'rhubarbseam_lookups_total', help: 'Look-ups, by outcome', labelNames: ['outcome'], registers: [this.registry] })
  readonly ticks = new Counter({ name: 'rhubarbseam_ticks_total', help: 'Rows added to the inbox', registers: [this.registry] })
  readonly malformed = new Counter({ name: 'rhubarbseam_malformed_total', help: 'Link frames and requests rejected as malformed', labelNames: ['where'], registers: [this.registry] })
  readonly handlerFaults = new Counter({ name: 'rhubarbseam_handler_faults_total', help: 'Errors of handlers, by listener or link; each ended one request or connection', labelNames: ['listener'], registers: [this.registry] })
  readonly linkBytes = new Counter({ name: 'rhubarbseam_link_bytes_total', help: 'Bytes sent and received on links between processes, by kind of message and distance of the other end', labelNames: ['direction', 'kind', 'scope'], registers: [this.registry] })
  readonly diskBytes = new Gauge({ name: 'rhubarbseam_disk_bytes', help: 'Size of the log of this control host on disk, in bytes', registers: [this.registry] })
  readonly diskRefuses = new Gauge({ name: 'rhubarbseam_disk_refuses', help: 'Whether the disk of this control host refuses writes, 0 or 1', registers: [this.registry] })
  readonly lostReplicas = new Counter({ name: 'rhubarbseam_lost_replicas_total', help: 'Replicas that this control host could not use when it started, so that it joined as a new one', registers: [this.registry] })
  readonly configurationIndex = new Gauge({ name: 'rhubarbseam_configuration_index', help: 'Log index of the configuration in force on this host', registers: [this.registry] })
  readonly configurationAge = new Gauge({ name: 'rhubarbseam_configuration_age_seconds', help: 'Time since the configuration of this host was last confirmed to be current, in seconds', registers: [this.registry] })
  readonly members = new Gauge({ name: 'rhubarbseam_members', help: 'Members of the fleet, by state', labelNames: ['state'], registers: [this.registry] })
  readonly backends = new Gauge({ name: 'rhubarbseam_backend_servers', help: 'Backend servers, by state', labelNames: ['state'], registers: [this.registry] })

  readonly lostLogLines = new Counter({ name: 'rhubarbseam_log_lines_lost_total', help: 'Log lines that could not be written', registers: [this.registry], collect () { this.reset(); this.inc(logOutput.lostLines) } })

  /** Creates the metrics. Node.js runtime metrics are optional, because they cost a callback per garbage collection. */
  constructor (hasRuntimeMetrics = true) {
    if (hasRuntimeMetrics) collectDefaultMetrics({ register: this.registry, eventLoopMonitoringPrecision: EVENT_LOOP_SAMPLE_INTERVAL_MS })
  }

  /** Updates the gauges of the configuration index and of the members. */
  updateFleetGauges ({ configuration, members }: FleetTables): void {
    this.configurationIndex.set(configuration.index)
    this.members.reset()
    for (const { member } of members.rows()) this.members.inc({ state: member.state })
  }
}

/** What the metrics endpoint serves. */
export interface MetricsEndpoint {
  readonly metrics: Metrics
  readonly faults: FaultLog
  /** Updates the gauges before each scrape. */
  refresh (): void
  /** Returns the journal events about a subject, or the latest ones if it is null; they are served at /explain. */
  explain? (subject: string | null): unknown
}

/** Creates the listener that serves the metrics at /metrics. */
export const createMetricsListener = ({ metrics, faults, refresh, explain }: MetricsEndpoint): HttpListener => {
  const handle = async (request: IncomingMessage, response: ServerResponse): Promise<void> => {
    const url = parseUrl(request)
    if (url?.pathname === '/explain' && explain !== undefined) {
      const body = JSON.stringify(explain(url.searchParams.get('subject')))
      response.writeHead(200, { 'content-type': 'application/json' }).end(body)
      return
    }
    if (url?.pathname !== '/metrics') {
      response.writeHead(404).end()
      return
    }
    refresh()
    const text = await metrics.registry.metrics()
    response.writeHead(200, { 'content-type': metrics.registry.contentType }).end(text)
  }
  return new HttpListener({ name: 'metrics', faults, handle })
}

/** Returns the listener of the metrics endpoint, or an empty list if no address is set. */
export const metricsListeners = (address: Address | undefined, endpoint: MetricsEndpoint): Listener[] => {
  if (address === undefined) return []
  const listener = createMetricsListener(endpoint)
  return [{ what: 'metrics', address, listen: async () => await listener.listen(address) }]
}
