import t from 'tap'
import type { BackendRow } from '../announcement/types.js'
import { estimateOutstanding } from './candidates.js'

const row = (load: Partial<BackendRow>): BackendRow =>
  ({ inFlight: 1, otherHostsLoad: 0, usualOthersLoad: 0, answerMs: 100, loadReportedAt: 1_000, ...load }) as unknown as BackendRow

const estimatesAfter = (backend: BackendRow, agesMs: readonly number[]): number[] =>
  agesMs.map(ageMs => Math.round(estimateOutstanding(backend, 1_000 + ageMs) * 10) / 10)

t.test('a peak that a server has reported counts only until its requests have been answered', async t => {
  const agesMs = [0, 100, 300, 1_000, 3_000]
  t.matchSnapshot({
    peak: estimatesAfter(row({ otherHostsLoad: 20, usualOthersLoad: 3 }), agesMs),
    peakAtSlowServer: estimatesAfter(row({ otherHostsLoad: 20, usualOthersLoad: 3, answerMs: 1_000 }), agesMs),
    lull: estimatesAfter(row({ otherHostsLoad: 0, usualOthersLoad: 6 }), agesMs),
    constantlyFull: estimatesAfter(row({ otherHostsLoad: 10, usualOthersLoad: 10 }), agesMs),
    noReport: estimatesAfter(row({ otherHostsLoad: 20, loadReportedAt: 0 }), [0])
  })
})
