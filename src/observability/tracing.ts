/** OpenTelemetry tracing: spans of requests, look-ups and their stages, exported over OTLP if an endpoint is set. */

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

/** The span of a request or look-up, with the context for its child spans. */
export interface RequestTrace {
  readonly span: Span
  readonly context: Context
}

/** The attributes of an attempt span, and the durations of the stages before it in milliseconds. */
export interface TracedAttempt { readonly attempt: string, readonly backend: string, readonly admissionMs: number, readonly queueMs: number }

/** Creates spans and exports them. */
export class Tracing {
  readonly #provider: BasicTracerProvider

  constructor (endpoint: string, sampleRatio: number, host: string) {
    this.#provider = new BasicTracerProvider({
      resource: resourceFromAttributes({ 'service.name': 'rhubarbseam', 'host.name': host }),
      sampler: new ParentBasedSampler({ root: new TraceIdRatioBasedSampler(sampleRatio) }),
      spanProcessors: [new BatchSpanProcessor(new OTLPTraceExporter({ url: endpoint }))]
    })
  }

  /** Starts the span of a request or look-up, as a child of the caller's span if the W3C headers name one. */
  startRequest (name: string, headers: IncomingHttpHeaders): RequestTrace {
    const parent = propagator.extract(ROOT_CONTEXT, headers, headerGetter)
    const span = this.#provider.getTracer('rhubarbseam').startSpan(name, { kind: SpanKind.SERVER }, parent)
    return { span, context: trace.setSpan(parent, span) }
  }

  /** Starts a child span of a request. `startTime` is in wall-clock milliseconds. */
  startChild (request: RequestTrace, name: string, attributes: Record<string, string | number>, startTime?: number): Span {
    return this.#provider.getTracer('rhubarbseam').startSpan(name, { kind: SpanKind.INTERNAL, attributes, startTime }, request.context)
  }

  /** Starts the span of an attempt. Also records the spans of the admission and of the backend choice that preceded it. */
  startAttempt (trace: RequestTrace, { attempt, backend, admissionMs, queueMs }: TracedAttempt): Span {
    const now = Date.now()
    const admittedAt = now - queueMs
    this.startChild(trace, 'admission', {}, admittedAt - admissionMs).end(admittedAt)
    this.startChild(trace, 'choice', { backend }, admittedAt).end(now)
    return this.startChild(trace, 'attempt', { backend, attempt })
  }

  /** Adds the W3C trace headers of a span to the headers for the backend server. */
  inject (request: RequestTrace, span: Span, headers: Record<string, string | string[]>): void {
    propagator.inject(trace.setSpan(request.context, span), headers, { set: (carrier, key, value) => { carrier[key] = value } })
  }

  /** Exports the remaining spans and stops. */
  async stop (): Promise<void> { await this.#provider.shutdown() }
}

/** Ends a span with a result attribute, and an error status if `isError`. */
export const endSpan = (span: Span, result: string, isError: boolean): void => {
  span.setAttribute('result', result)
  if (isError) span.setStatus({ code: SpanStatusCode.ERROR, message: result })
  span.end()
}
