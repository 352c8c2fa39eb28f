Feature: Two operators edit the same profile
  The second edit of a race would undo the first one without anybody noticing.

  Scenario: The later edit is refused and both versions are shown
    Given a profile with urgency 0 that two operators have read
    When the first puts it with urgency 1
    And the second puts it with urgency 2
    Then the second is refused as a conflict
    And both versions are shown with the version to base on
    And the profile in force has urgency 1

  Scenario: The refused operator merges and sends again
    Given a profile with urgency 0 that two operators have read
    When the first puts it with urgency 1
    And the second puts it with urgency 2
    And the second sends it again with the version that was shown
    Then the profile in force has urgency 2
