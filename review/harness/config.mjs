/** Config documents as operators send them. */

export const KEY = 'key-of-tenant-one'

/** A route to one service. */
export const route = (name, spec) => ({ resourceType: 'routes', metadata: { name }, spec: { host: 'shop.example', pathPrefix: `/${name}/`, type: 'idempotent', timeoutMs: 2_000, targetLatencyMs: 500, priority: 1, attempts: 2, anonymous: false, cacheAffinity: false, allowedRegions: [], ...spec } })
export const service = name => ({ resourceType: 'services', metadata: { name }, spec: { healthCheck: '/health', maxConnections: 800, protocol: 'h1', tls: false, warmupS: 3, warmupPerS: 16 } })
export const tenant = (name = 'one', spec = {}) => ({ resourceType: 'tenants', metadata: { name }, spec: { apiKeys: [KEY], priority: 1, ratePerS: 500, burst: 500, allowedRegions: [], ...spec } })
const limits = { resourceType: 'limits', metadata: {}, spec: { maxHeaderBytes: 16_384, maxBodyBytes: 67_108_864, headerTimeoutMs: 3_000, idleTimeoutMs: 15_000 } }

export const config = (version, resources) => ({ version: `r${version}`, resources: [...resources, limits] })
