import t from 'tap'
import { MAX_SUBJECTS, OTHER_LABEL, SubjectLabels, UNKNOWN_LABEL } from './subjectLabels.js'

t.test('only known subjects become labels, and no more of them than the bound', async t => {
  const labels = new SubjectLabels()
  t.equal(labels.labelOf('a', false), UNKNOWN_LABEL)
  t.equal(labels.labelOf('a', true), 'a')
  t.equal(labels.labelOf('a', false), UNKNOWN_LABEL, 'removed from the configuration')
  const all = new Set<string>()
  for (let n = 0; n < 2 * MAX_SUBJECTS; n += 1) all.add(labels.labelOf(`s${n}`, true))
  t.equal(all.size, MAX_SUBJECTS, 'with the one for all others')
  t.ok(all.has(OTHER_LABEL))
  t.equal(labels.labelOf('a', true), 'a')
})
