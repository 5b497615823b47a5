/** Metrics of a process, for a port that callers cannot reach. */

import { createServer } from 'node:http'
import type { Server } from 'node:http'
import { Counter, Gauge, Histogram, Registry, collectDefaultMetrics } from 'prom-client'
import type { MembershipTables } from '../membership/types.js'
import type { Listener } from '../process/runningProcess.js'
import { listenOn } from '../process/listen.js'
import type { Address } from '../core/address.js'

const LATENCY_BUCKETS_SECONDS = [0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1, 2, 5, 10]

/** The event loop's delay is sampled this seldom: each sample wakes the process. */
const EVENT_LOOP_SAMPLE_MS = 1_000

type FleetTables = Pick<MembershipTables, 'members'> & { readonly configuration: { readonly index: number } }

/** Every metric that processes of the system keep. */
export class Metrics {
  readonly registry = new Registry()
  readonly requests = new Counter({ name: 'rhubarbseam_requests_total', help: 'Requests of callers by service and outcome', labelNames: ['service', 'outcome'], registers: [this.registry] })
  readonly refusals = new Counter({ name: 'rhubarbseam_refusals_total', help: 'Refused requests by reason, and whether they may have run', labelNames: ['reason', 'ran'], registers: [this.registry] })
  readonly latency = new Histogram({ name: 'rhubarbseam_request_seconds', help: 'Time from the head of a request to the last byte of its answer, in seconds', labelNames: ['service'], buckets: LATENCY_BUCKETS_SECONDS, registers: [this.registry] })
  readonly attempts = new Counter({ name: 'rhubarbseam_attempts_total', help: 'Attempts at backend servers by result', labelNames: ['result'], registers: [this.registry] })
  readonly lookups = new Counter({ name: 'rhubarbseam_lookups_total', help: 'Look-ups by outcome', labelNames: ['outcome'], registers: [this.registry] })
  readonly ticks = new Counter({ name: 'rhubarbseam_ticks_total', help: 'Ticks of the world', registers: [this.registry] })
  readonly malformed = new Counter({ name: 'rhubarbseam_malformed_total', help: 'Frames and requests that were refused as malformed', labelNames: ['where'], registers: [this.registry] })
  readonly linkBytes = new Counter({ name: 'rhubarbseam_link_bytes_total', help: 'Bytes of messages between processes', labelNames: ['direction'], registers: [this.registry] })
  readonly configurationIndex = new Gauge({ name: 'rhubarbseam_configuration_index', help: 'Index of the configuration in force here', registers: [this.registry] })
  readonly configurationAge = new Gauge({ name: 'rhubarbseam_configuration_age_seconds', help: 'Time since this copy of the configuration was known to be the newest, in seconds', registers: [this.registry] })
  readonly members = new Gauge({ name: 'rhubarbseam_members', help: 'Members by state', labelNames: ['state'], registers: [this.registry] })
  readonly backends = new Gauge({ name: 'rhubarbseam_backend_servers', help: 'Backend servers by state', labelNames: ['state'], registers: [this.registry] })

  /** The runtime's own metrics cost a callback for each garbage collection; small hosts go without them. */
  constructor (withRuntime = true) {
    if (withRuntime) collectDefaultMetrics({ register: this.registry, eventLoopMonitoringPrecision: EVENT_LOOP_SAMPLE_MS })
  }

  /** Brings the gauges of what a host knows of the fleet up to date. */
  updateFleetGauges ({ configuration, members }: FleetTables): void {
    this.configurationIndex.set(configuration.index)
    this.members.reset()
    for (const { member } of members.rows()) this.members.inc({ state: member.state })
  }
}

/** Serves the metrics and, on entry hosts, the journal; rejects when the address cannot be had. */
export const serveMetrics = async (metrics: Metrics, listen: Address, refresh: () => void, explain?: (subject: string | null) => unknown): Promise<Server> => {
  const server = createServer((request, response) => {
    const url = new URL(request.url ?? '/', 'http://localhost')
    if (url.pathname === '/explain' && explain !== undefined) {
      response.writeHead(200, { 'content-type': 'application/json' }).end(JSON.stringify(explain(url.searchParams.get('subject'))))
      return
    }
    if (url.pathname !== '/metrics') {
      response.writeHead(404).end()
      return
    }
    refresh()
    metrics.registry.metrics().then(
      text => { response.writeHead(200, { 'content-type': metrics.registry.contentType }).end(text) },
      () => { response.writeHead(500).end() }
    )
  })
  await listenOn(server, listen)
  return server
}

/** The listener of metrics, where there is one. */
export const metricsListeners = (address: Address | undefined, metrics: Metrics, refresh: () => void, explain?: (subject: string | null) => unknown): Listener[] =>
  address === undefined ? [] : [{ what: 'metrics', address, listen: async () => await serveMetrics(metrics, address, refresh, explain) }]
