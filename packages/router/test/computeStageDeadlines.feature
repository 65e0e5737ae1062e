@computeStageDeadlines
Feature: Each stage has to be done while there is time for later steps

  Scenario: The time of later stages and of the response is subtracted
    Given a chain of three stages whose batch calls take 200 ms and 20 ms a piece
    When a call with 1, 4 and 9 pieces has to start its response by 5000 ms, and targets take 300 ms to start one
    Then its stages have to be done by 4120, 4400 and 4700 ms

  Scenario: A stage without pieces takes no time
    Given a chain of three stages whose batch calls take 200 ms and 20 ms a piece
    When a call with 1, 0 and 1 pieces has to start its response by 5000 ms, and targets take 300 ms to start one
    Then its stages have to be done by 4480, 4480 and 4700 ms

  Scenario: A stage may wait for a zone while a full batch would still be on time
    Given a chain of three stages whose batch calls take 200 ms and 20 ms a piece
    When a call with 1, 4 and 9 pieces has to start its response by 5000 ms, and targets take 300 ms to start one
    Then its stages may wait for their zone until 3670, 3950 and 4250 ms
