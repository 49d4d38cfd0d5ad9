import {describe, expect, it} from 'vitest';
import {MajorityOutageRule} from './outage-rule';
import type {DomainId} from './outage-rule';

const rule = new MajorityOutageRule();
const parseDomain = (text: string): DomainId => {
  const [region, failureDomain] = text.split('/');
  return {region, failureDomain};
};

interface Sample {
  why: string;
  domains: string[];
  reports: Record<string, string>;
  isOutage: boolean;
}

describe('majority rule for outages', () => {
  it.each<Sample>([
    {
      why: 'one domain, reported by another process',
      domains: ['n/a'],
      reports: {other: 'n/a'},
      isOutage: true,
    },
    {
      why: 'one domain, reported by this process alone',
      domains: ['n/a'],
      reports: {self: 'n/a'},
      isOutage: false,
    },
    {
      why: 'both of two domains, one reported by this process',
      domains: ['n/a', 'n/b'],
      reports: {self: 'n/a', other: 'n/b'},
      isOutage: true,
    },
    {
      why: 'half of the domains',
      domains: ['n/a', 'n/b', 'n/c', 'n/d'],
      reports: {p1: 'n/a', p2: 'n/b', p3: 'n/b'},
      isOutage: false,
    },
    {
      why: 'two of three domains',
      domains: ['n/a', 'n/b', 'n/c'],
      reports: {p1: 'n/a', p2: 'n/b'},
      isOutage: true,
    },
    {
      why: 'a majority of domains without one region',
      domains: ['n/a', 'n/b', 'n/c', 's/a'],
      reports: {p1: 'n/a', p2: 'n/b', p3: 'n/c'},
      isOutage: false,
    },
    {
      why: 'domains of the same name in two regions',
      domains: ['n/a', 's/a'],
      reports: {p1: 'n/a', p2: 'n/a'},
      isOutage: false,
    },
    {
      why: 'a majority of domains that includes every region',
      domains: ['n/a', 'n/b', 's/a'],
      reports: {p1: 'n/b', p2: 's/a'},
      isOutage: true,
    },
  ])('$why: $isOutage', ({domains, reports, isOutage}) => {
    const evidence = {
      ownName: 'self',
      domains: domains.map(parseDomain),
      reports: Object.entries(reports).map(([reporter, place]) => ({
        reporter,
        ...parseDomain(place),
      })),
    };
    expect(rule.isOutage(evidence)).toBe(isOutage);
  });
});
