import t from 'tap'
import { parsePause, readServerNotice } from './serverNotice.js'

t.test('the length of a pause is read from seconds only', async t => {
  const values: Record<string, string | string[] | undefined> = {
    'whole seconds': '3',
    fraction: '0.25',
    zero: '0',
    spaces: ' 2 ',
    negative: '-1',
    'very large': '9'.repeat(400),
    'several values': ['1', '4'],
    'several values in one': '1, 4',
    'one of two unparsable': ['1', 'soon'],
    text: 'soon',
    exponent: '1e3',
    empty: '',
    absent: undefined,
    'an HTTP date': 'Wed, 21 Oct 2026 07:28:00 GMT'
  }
  t.matchSnapshot(Object.fromEntries(Object.entries(values).map(([name, value]) => [name, parsePause(value)])))
})

t.test('a pause is asked for with status 503 only, and a server can leave with any', async t => {
  const headers = { 'retry-after': '2', leaving: '1' }
  t.same(readServerNotice({ statusCode: 503, headers }, 'leaving'), { isLeaving: true, pauseMs: 2_000 })
  t.same(readServerNotice({ statusCode: 429, headers }, 'leaving'), { isLeaving: true, pauseMs: null })
  t.equal(readServerNotice({ statusCode: 200, headers: { 'retry-after': '2', leaving: '0' } }, 'leaving'), null)
})
