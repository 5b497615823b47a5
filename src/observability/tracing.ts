/** Traces: a span for each hop, exported over OTLP when an endpoint is set and absent otherwise. */

import { ROOT_CONTEXT, SpanKind, SpanStatusCode, trace } from '@opentelemetry/api'
import type { Context, Span, TextMapGetter } from '@opentelemetry/api'
import { W3CTraceContextPropagator } from '@opentelemetry/core'
import { OTLPTraceExporter } from '@opentelemetry/exporter-trace-otlp-http'
import { resourceFromAttributes } from '@opentelemetry/resources'
import { BasicTracerProvider, BatchSpanProcessor, ParentBasedSampler, TraceIdRatioBasedSampler } from '@opentelemetry/sdk-trace-base'
import type { IncomingHttpHeaders } from 'node:http'

const propagator = new W3CTraceContextPropagator()

const headerGetter: TextMapGetter<IncomingHttpHeaders> = {
  keys: carrier => Object.keys(carrier),
  get: (carrier, key) => {
    const value = carrier[key]
    return Array.isArray(value) ? value[0] : value
  }
}

/** The trace of one request of a caller. */
export interface RequestTrace {
  readonly span: Span
  readonly context: Context
}

/** What a span tells of an attempt, with the times before it in milliseconds. */
export interface TracedAttempt { readonly attempt: string, readonly backend: string, readonly admissionMs: number, readonly queueMs: number }

/** Makes spans; a process without an endpoint has none of these. */
export class Tracing {
  readonly #provider: BasicTracerProvider

  constructor (endpoint: string, sampleRatio: number, host: string) {
    this.#provider = new BasicTracerProvider({
      resource: resourceFromAttributes({ 'service.name': 'rhubarbseam', 'host.name': host }),
      sampler: new ParentBasedSampler({ root: new TraceIdRatioBasedSampler(sampleRatio) }),
      spanProcessors: [new BatchSpanProcessor(new OTLPTraceExporter({ url: endpoint }))]
    })
  }

  /** Starts the span of a request or a look-up, below the caller's own span if it named one. */
  startRequest (name: string, headers: IncomingHttpHeaders): RequestTrace {
    const parent = propagator.extract(ROOT_CONTEXT, headers, headerGetter)
    const span = this.#provider.getTracer('rhubarbseam').startSpan(name, { kind: SpanKind.SERVER }, parent)
    return { span, context: trace.setSpan(parent, span) }
  }

  /** Starts the span of a hop inside a request. */
  startChild (request: RequestTrace, name: string, attributes: Record<string, string | number>, startTime?: number): Span {
    return this.#provider.getTracer('rhubarbseam').startSpan(name, { kind: SpanKind.INTERNAL, attributes, startTime }, request.context)
  }

  /** Starts the span of an attempt, after those of the admission and the choice that led to it. */
  startAttempt (trace: RequestTrace, { attempt, backend, admissionMs, queueMs }: TracedAttempt): Span {
    const now = Date.now()
    const admittedAt = now - queueMs
    this.startChild(trace, 'admission', {}, admittedAt - admissionMs).end(admittedAt)
    this.startChild(trace, 'choice', { backend }, admittedAt).end(now)
    return this.startChild(trace, 'attempt', { backend, attempt })
  }

  /** Writes the W3C headers of a hop for the backend server. */
  inject (request: RequestTrace, span: Span, headers: Record<string, string | string[]>): void {
    propagator.inject(trace.setSpan(request.context, span), headers, { set: (carrier, key, value) => { carrier[key] = value } })
  }

  async stop (): Promise<void> { await this.#provider.shutdown() }
}

/** Ends a span with its result. */
export const endSpan = (span: Span, result: string, isError: boolean): void => {
  span.setAttribute('result', result)
  if (isError) span.setStatus({ code: SpanStatusCode.ERROR, message: result })
  span.end()
}
